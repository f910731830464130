/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- The mocks contain only the members that these tests use. */
import {Buffer} from 'node:buffer';
import {createServer, request} from 'node:http';
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';
import {expect, it} from 'vitest';
import {Links} from '../../core/gateway/health/links.js';
import {ValidatingAgent} from '../../protocol/http/validated-request.js';
import {type CallerResponse} from '../callers/caller-response.js';
import {Dispatch} from '../requests/dispatch.js';
import {type AdmittedRequest} from '../requests/request-state.js';
import {type GatewayServices} from '../services.js';
import {type RequestTrace} from '../requests/trace.js';
import {StallDetectors} from '../upstreams/stall-detectors.js';

const noConvictions = {
	assess: () => ({type: 'unsuspected'}),
	listPermitted: () => undefined,
	track: () => ({[Symbol.dispose]: () => undefined}),
	recordBroken: () => undefined,
	recordAnswered: () => undefined,
	noteLife: () => undefined,
	recordBegun: () => undefined,
	hasCrashedUnderOthers: () => false,
};

it('ends a request whose deadline passed before it was sent, even if no timer could fire', async () => {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const callerRequest = request({port: (server.address() as AddressInfo).port, host: '127.0.0.1'});
	callerRequest.on('error', () => undefined).end();
	const [incoming] = await once(server, 'request') as [AdmittedRequest['incoming']];
	let placed = 0;
	const concluded: string[] = [];
	const placement = {
		upstream: {id: 'e0', address: {host: '127.0.0.1', port: 1}}, helpers: [], holdTokens: 0, loss: 0, firstByte: 0,
	};
	const gateway = {
		convictions: noConvictions,
		loadUpdates: {refresh: async () => undefined},
		canRetry: () => true,
		retries: {countRetry: () => undefined},
		placements: {
			place() {
				placed++;
				return placed < 1000 ? placement : undefined;
			},
		},
	};
	const services = {gateway, clock: {now: () => 2000}, metrics: {retries: {inc: () => undefined}}} as unknown as GatewayServices;
	const callerResponse = {
		isClosed: false,
		canContinue: true,
		noteMayHaveRun: () => undefined,
		conclude(name: string) {
			concluded.push(name);
		},
	} as unknown as CallerResponse;
	const admitted = {
		incoming, body: Buffer.alloc(0), route: {attempts: 2, kind: 'idempotent', isResumable: false}, organisation: undefined, demand: {deadline: 1000, service: 's'},
	} as unknown as AdmittedRequest;
	await new Dispatch(services, admitted, callerResponse, {write: () => undefined} as unknown as RequestTrace).run();
	expect([concluded, placed]).toEqual([['deadlinePassed'], 0]);
	callerRequest.destroy();
	server.close();
});

it('refuses a request at once that would cost other requests more than its weight, with the time after which to retry', async () => {
	const refused: Array<readonly [string, number | undefined]> = [];
	const lines: string[] = [];
	const placement = {
		upstream: {id: 'e0', address: {host: '127.0.0.1', port: 1}}, helpers: [], holdTokens: 0, loss: 60, firstByte: 900, prefill: {total: 400, perIteration: 400},
	};
	const gateway = {
		convictions: noConvictions,
		loadUpdates: {refresh: async () => undefined},
		service: () => ({engine: {usualPrompt: 1000, usualAnswer: 500, step: 1}}),
		placements: {
			place: () => placement,
		},
	};
	const services = {
		gateway, findStop: () => undefined, clock: {now: () => 0}, random: () => 0.5,
	} as unknown as GatewayServices;
	const callerResponse = {
		refuse(name: string, after?: number) {
			refused.push([name, after]);
		},
	} as unknown as CallerResponse;
	const trace = {
		write(event: string) {
			lines.push(event);
		},
	} as unknown as RequestTrace;
	const incoming = {url: '/', headers: {}} as unknown as AdmittedRequest['incoming'];
	const admitted = {
		incoming,
		body: Buffer.alloc(0),
		route: {attempts: 2, kind: 'streaming', isResumable: true},
		organisation: undefined,
		demand: {deadline: 1000, service: 's', prompt: {tokens: 50_000, answer: 100}},
	} as unknown as AdmittedRequest;
	await new Dispatch(services, admitted, callerResponse, trace).run();
	expect([refused, lines]).toEqual([[['overloaded', 1]], ['not-placed']]);
});

it('tries another upstream for a request that has reached none, even if the retry budget is used up', async () => {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	const concluded: string[] = [];
	const placements = [{
		upstream: {id: 'e0', address: {host: '127.0.0.1', port}}, helpers: [], holdTokens: 0, loss: 0, firstByte: 0, prefill: {total: 0, perIteration: 0},
	}];
	let placed = 0;
	const gateway = {
		convictions: noConvictions,
		loadUpdates: {refresh: async () => undefined, end: () => undefined},
		canRetry: () => false,
		service: () => undefined,
		load: {size: 1},
		tunnels: {links: new Links(), noteUnanswered: () => undefined},
		stallDetectors: new StallDetectors({
			tunnels: {links: new Links(), noteUnanswered: () => undefined}, clock: {now: () => 0}, forecastIterationTime: () => 0, onLife: () => undefined,
		}),
		recordVerdict: () => undefined,
		publishAbsence: () => undefined,
		placements: {
			computeWait: () => undefined,
			countObstacles: () => ({}),
			considerMemory: () => undefined,
			place() {
				placed++;
				return placements.shift();
			},
			planReservation: () => ({type: 'none'}),
			beginJob: () => ({id: 'j0', weight: 1}),
			createPaceSampler: () => undefined,
			forecastIterationTime: () => 0,
		},
	};
	const services = {
		findStop: () => undefined,
		gateway,
		clock: {now: () => 0},
		headerFormat: {formatUpstreamHeaders: () => []},
		agent: new ValidatingAgent(),
		responseBounds: {eventBytes: 1_000_000, interim: 16},
		metrics: {attempts: {inc: () => undefined}, retries: {inc: () => undefined}},
	} as unknown as GatewayServices;
	const callerResponse = {
		isClosed: false,
		canContinue: true,
		noteMayHaveRun: () => undefined,
		conclude(name: string) {
			concluded.push(name);
		},
	} as unknown as CallerResponse;
	const admitted = {
		incoming: {
			url: '/', headers: {}, rawHeaders: [], method: 'GET',
		},
		body: Buffer.alloc(0),
		route: {attempts: 2, kind: 'idempotent', isResumable: false},
		organisation: undefined,
		demand: {id: 'r0', deadline: 5000, service: 's'},
	} as unknown as AdmittedRequest;
	await new Dispatch(services, admitted, callerResponse, {write: () => undefined} as unknown as RequestTrace).run();
	expect([concluded, placed]).toEqual([['noUpstream'], 2]);
});

/** Runs a request that no upstream accepts for some milliseconds, and returns how it was concluded and how often it was placed. */
async function runWithoutUpstream({waits, hasBegun}: {readonly waits: ReadonlyArray<number | undefined>; readonly hasBegun: boolean}): Promise<readonly unknown[]> {
	const concluded: Array<readonly [string, number | undefined]> = [];
	let placed = 0;
	const gateway = {
		convictions: noConvictions,
		loadUpdates: {refresh: async () => undefined},
		placements: {
			place() {
				placed++;
				return undefined;
			},
			computeWait: () => waits[placed - 1],
			countObstacles: () => ({'rate-limit': 1}),
			considerMemory: () => undefined,
		},
	};
	const services = {gateway, findStop: () => undefined, clock: {now: () => 0}} as unknown as GatewayServices;
	const callerResponse = {
		isClosed: false,
		canContinue: true,
		hasBegun,
		conclude(name: string, _: unknown, wait?: number) {
			concluded.push([name, wait]);
		},
	} as unknown as CallerResponse;
	const admitted = {
		incoming: {url: '/', headers: {}},
		body: Buffer.alloc(0),
		route: {attempts: 2, kind: 'streaming', isResumable: true},
		organisation: undefined,
		demand: {deadline: 1000, service: 's'},
	} as unknown as AdmittedRequest;
	await new Dispatch(services, admitted, callerResponse, {write: () => undefined} as unknown as RequestTrace).run();
	return [...concluded, placed];
}

it('refuses a request at once that no upstream accepts now, with the time until one does', async () => {
	expect(await runWithoutUpstream({waits: [700], hasBegun: false})).toEqual([['overloaded', 700], 1]);
});

it('places a request once more if an upstream accepts it just after none did', async () => {
	expect(await runWithoutUpstream({waits: [0, 250], hasBegun: false})).toEqual([['overloaded', 250], 2]);
	expect(await runWithoutUpstream({waits: [0, 0], hasBegun: false})).toEqual([['noUpstream', 0], 2]);
});

it('waits for an upstream if the caller has part of its stream, and ends it once none is left', async () => {
	expect(await runWithoutUpstream({waits: [20, 10, undefined], hasBegun: true})).toEqual([['noUpstream', 0], 3]);
});

it('sends nothing to an engine whose failure domain is evacuated while it reserves memory, and places the request again', async () => {
	const lines: string[] = [];
	const concluded: string[] = [];
	const released: string[] = [];
	const evacuated: string[] = [];
	const placements = [{
		upstream: {id: 'e0', address: {host: '127.0.0.1', port: 1}}, helpers: [{id: 'e1', address: {host: '127.0.0.1', port: 1}}], holdTokens: 500, loss: 0, firstByte: 0,
	}];
	const gateway = {
		convictions: noConvictions,
		loadUpdates: {refresh: async () => undefined, end: () => undefined},
		coldStarts: {countReservation: () => undefined},
		service: () => undefined,
		canRetry: () => false,
		placements: {
			planReservation: () => ({type: 'split', tokens: 500}),
			beginJob: () => ({id: 'j0'}),
			considerMemory: () => undefined,
			computeWait: () => undefined,
			countObstacles: () => ({evacuation: 2}),
			findEvacuated: () => evacuated,
			place: () => placements.shift(),
		},
	};
	const hold = {
		name: 'h0',
		async acquire() {
			evacuated.push('e1');
			return [];
		},
		async [Symbol.asyncDispose]() {
			released.push('h0');
		},
	};
	const holds = {prepare: () => hold, count: () => undefined};
	const services = {
		gateway, holds, findStop: () => undefined, clock: {now: () => 0},
	} as unknown as GatewayServices;
	const callerResponse = {
		isClosed: false,
		canContinue: true,
		conclude(name: string) {
			concluded.push(name);
		},
	} as unknown as CallerResponse;
	const trace = {
		write(event: string) {
			lines.push(event);
		},
	} as unknown as RequestTrace;
	const admitted = {
		incoming: {url: '/', headers: {}},
		body: Buffer.alloc(0),
		route: {attempts: 2, kind: 'streaming', isResumable: true},
		organisation: undefined,
		demand: {deadline: 1000, service: 's'},
	} as unknown as AdmittedRequest;
	await new Dispatch(services, admitted, callerResponse, trace).run();
	expect([lines, released, concluded]).toEqual([['hold-unused', 'not-accepted'], ['h0'], ['noUpstream']]);
});
