/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- Only what such a request reaches stands in for the rest. */
import {Buffer} from 'node:buffer';
import {createServer, request} from 'node:http';
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';
import {expect, it} from 'vitest';
import {type Delivery} from '../delivery.js';
import {Dispatch, type Order} from '../dispatch.js';
import {type Parts} from '../parts.js';
import {type Trace} from '../trace.js';

it('a request whose time was over before it was sent ends, though no timer could fire', async () => {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const asking = request({port: (server.address() as AddressInfo).port, host: '127.0.0.1'});
	asking.on('error', () => undefined).end();
	const [incoming] = await once(server, 'request') as [Order['incoming']];
	let placed = 0;
	const concluded: string[] = [];
	const place = {
		upstream: {id: 'e0', address: {host: '127.0.0.1', port: 1}}, helpers: [], holdTokens: 0, loss: 0, firstByte: 0,
	};
	const gateway = {
		convictions: {isConvicted: () => false},
		news: {refresh: async () => undefined},
		mayRetry: () => true,
		retries: {countRetry: () => undefined},
		place() {
			placed++;
			return placed < 1000 ? place : undefined;
		},
	};
	const parts = {gateway, clock: {now: () => 2000}, metrics: {retries: {inc: () => undefined}}} as unknown as Parts;
	const delivery = {
		isClosed: false,
		noteMayHaveRun: () => undefined,
		conclude(name: string) {
			concluded.push(name);
		},
	} as unknown as Delivery;
	const order = {
		incoming, body: Buffer.alloc(0), route: {attempts: 2, kind: 'idempotent', isResumable: false}, organisation: undefined, demand: {deadline: 1000, service: 's'},
	} as unknown as Order;
	await new Dispatch(parts, order, delivery, {write: () => undefined} as unknown as Trace).run();
	expect([concluded, placed]).toEqual([['deadlinePassed'], 0]);
	asking.destroy();
	server.close();
});

it('a request that would cost others more than it is worth is refused at once, with the time to come back', async () => {
	const refused: Array<readonly [string, number | undefined]> = [];
	const lines: string[] = [];
	const place = {
		upstream: {id: 'e0', address: {host: '127.0.0.1', port: 1}}, helpers: [], holdTokens: 0, loss: 60, firstByte: 900, reading: {total: 400, perPass: 400},
	};
	const gateway = {
		convictions: {isConvicted: () => false},
		news: {refresh: async () => undefined},
		service: () => ({engine: {usualPrompt: 1000, usualAnswer: 500, step: 1}}),
		place: () => place,
	};
	const parts = {gateway, clock: {now: () => 0}, random: () => 0.5} as unknown as Parts;
	const delivery = {
		refuse(name: string, after?: number) {
			refused.push([name, after]);
		},
	} as unknown as Delivery;
	const trace = {
		write(event: string) {
			lines.push(event);
		},
	} as unknown as Trace;
	const incoming = {url: '/', headers: {}} as unknown as Order['incoming'];
	const order = {
		incoming,
		body: Buffer.alloc(0),
		route: {attempts: 2, kind: 'streaming', isResumable: true},
		organisation: undefined,
		demand: {deadline: 1000, service: 's', prompt: {tokens: 50_000, answer: 100}},
	} as unknown as Order;
	await new Dispatch(parts, order, delivery, trace).run();
	expect([refused, lines]).toEqual([[['overloaded', 1]], ['not-placed']]);
});

it('a request that has reached no upstream goes on to another one though the budget of retries is used up', async () => {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	const concluded: string[] = [];
	const places = [{
		upstream: {id: 'e0', address: {host: '127.0.0.1', port}}, helpers: [], holdTokens: 0, loss: 0, firstByte: 0, reading: {total: 0, perPass: 0},
	}];
	let placed = 0;
	const gateway = {
		convictions: {isConvicted: () => false},
		news: {refresh: async () => undefined, end: () => undefined},
		mayRetry: () => false,
		place() {
			placed++;
			return places.shift();
		},
		service: () => undefined,
		begin: () => ({id: 'j0', weight: 1}),
		load: {size: 1},
		judge: () => undefined,
		tellAbsence: () => undefined,
		longestPass: () => 0,
	};
	const parts = {
		gateway,
		clock: {now: () => 0},
		dialect: {forUpstream: () => []},
		metrics: {attempts: {inc: () => undefined}, retries: {inc: () => undefined}},
	} as unknown as Parts;
	const delivery = {
		isClosed: false,
		noteMayHaveRun: () => undefined,
		conclude(name: string) {
			concluded.push(name);
		},
	} as unknown as Delivery;
	const order = {
		incoming: {
			url: '/', headers: {}, rawHeaders: [], method: 'GET',
		},
		body: Buffer.alloc(0),
		route: {attempts: 2, kind: 'idempotent', isResumable: false},
		organisation: undefined,
		demand: {id: 'r0', deadline: 5000, service: 's'},
	} as unknown as Order;
	await new Dispatch(parts, order, delivery, {write: () => undefined} as unknown as Trace).run();
	expect([concluded, placed]).toEqual([['noUpstream'], 2]);
});
