/** The guarantees for non-idempotent requests and for streams, under faults, with real processes. */
import {setTimeout as sleep} from 'node:timers/promises';
import got from 'got';
import {
	afterEach,
	beforeEach,
	describe,
	expect,
	it,
} from 'vitest';
import {Fleet} from '../bench/fleet/fleet.js';
import {
	buildChatBody,
	getExpectedAnswer,
	sendOnce,
	streamChat,
	requestTicket,
} from './support/caller.js';
import {Ledger} from './support/ledger.js';

const path = '/v1/services/book/pay';
const tokens = 60;
let fleet: Fleet;
let ledger: Ledger;

beforeEach(async () => {
	ledger = new Ledger();
	fleet = await Fleet.start({
		isProxied: true,
		timeScale: 5,
		domains: ['a', 'b'],
		hosts: [2],
		engines: [{service: 'check', perDomain: 2, settings: {answer: {least: tokens, most: tokens}}}],
		plains: [{service: 'book', perDomain: 1}],
		services: [
			{
				kind: 'model',
				id: 'check',
				model: 'check',
				idempotent: true,
				deadline: {default: 10_000, most: 20_000},
			},
			{
				kind: 'plain',
				id: 'book',
				idempotent: false,
				ticketRule: 'ticket',
				deadline: {default: 5000, most: 20_000},
			},
		],
		organisations: [{id: 'one'}],
	});
});

afterEach(async () => {
	await fleet[Symbol.asyncDispose]();
});

async function pay(host: string, body: string, ticket: string, timeout = 5000) {
	return ledger.record(body, await sendOnce(fleet, {
		host,
		path,
		body,
		ticket,
		timeout,
	}));
}

function findPlainUpstream(domain: string): string {
	return fleet.configuration.upstreams.find(each => each.kind === 'plain' && each.failureDomain === domain)!.id;
}

describe('a request that may run only once', () => {
	it('is refused with a ticket, runs once with it, and any host replays its answer', async () => {
		const body = 'amount=1';
		const refused = await sendOnce(fleet, {host: 'a-host-1', path, body});
		expect(refused).toMatchObject({status: 428, outcome: 'not run', code: 1006});
		const first = await pay('a-host-1', body, refused.ticket!);
		expect(first).toMatchObject({status: 200, outcome: 'done'});
		for (const host of ['a-host-2', 'b-host-1', 'a-host-1']) {
			expect(await pay(host, body, refused.ticket!)).toMatchObject({status: 200, body: first.body});
		}

		expect(await ledger.check(fleet)).toEqual([]);
	});

	it('never runs again when its upstream drops the connection before or after running it', async () => {
		for (const fault of ['drop-before', 'drop-after'] as const) {
			const body = fault;
			const ticket = await requestTicket(fleet, 'a-host-1');
			await fleet.upstreams.applyPlainServiceFault(findPlainUpstream('a'), {type: fault, count: 1});
			expect(await pay('a-host-1', body, ticket)).toMatchObject({outcome: 'outcome unknown'});
			expect(await pay('b-host-2', body, ticket)).toMatchObject({outcome: 'outcome unknown'});
		}

		expect(await ledger.check(fleet)).toEqual([]);
	});

	it('ends as not run or outcome unknown when its upstream refuses connections', async () => {
		const ticket = await requestTicket(fleet, 'a-host-1');
		for (const domain of ['a', 'b']) {
			await fleet.upstreams.applyPlainServiceFault(findPlainUpstream(domain), {type: 'crash'});
		}

		fleet.applyFault({type: 'refuse', where: {link: findPlainUpstream('a')}});
		fleet.applyFault({type: 'refuse', where: {link: findPlainUpstream('b')}});
		const result = await pay('a-host-1', 'refused', ticket);
		expect(['not run', 'outcome unknown']).toContain(result.outcome);
		expect(await ledger.check(fleet)).toEqual([]);
	});

	it('does not run again after its keeper died, before and after the keeper is replaced', async () => {
		const used = await requestTicket(fleet, 'a-host-1');
		const unused = await requestTicket(fleet, 'a-host-1');
		await pay('a-host-1', 'used', used);
		await fleet.killHost('a-host-1');
		expect(await pay('a-host-2', 'used', used)).toMatchObject({outcome: 'outcome unknown'});
		await fleet.replaceHost('a-host-1');
		await fleet.hosts.waitUntilReady(['a-host-1']);
		expect(await pay('a-host-1', 'used', used)).toMatchObject({outcome: 'outcome unknown', code: 4002});
		expect(await pay('a-host-2', 'unused', unused)).toMatchObject({outcome: 'outcome unknown'});
		expect(await ledger.check(fleet)).toEqual([]);
	});

	it('runs only on the side of a partition that issued its ticket', async () => {
		const tickets = {a: await requestTicket(fleet, 'a-host-1'), b: await requestTicket(fleet, 'b-host-1')};
		fleet.partition(['a', 'platform'], ['b']);
		const own = await Promise.all([pay('a-host-2', 'side a', tickets.a), pay('b-host-2', 'side b', tickets.b)]);
		expect(own.map(({outcome}) => outcome)).toEqual(['done', 'done']);
		const foreign = await Promise.all([
			pay('b-host-1', 'side a', tickets.a, 2000),
			pay('a-host-1', 'side b', tickets.b, 2000),
		]);
		expect(foreign.map(({outcome}) => outcome)).toEqual(['outcome unknown', 'outcome unknown']);
		fleet.heal();
		await sleep(3000);
		expect(await pay('b-host-1', 'side a', tickets.a)).toMatchObject({status: 200});
		expect(await ledger.check(fleet)).toEqual([]);
	});

	it('runs at most once when its keeper is paused while running it and resumes late', async () => {
		const body = 'paused';
		const ticket = await requestTicket(fleet, 'a-host-1');
		const {child} = fleet.hosts.get('a-host-1');
		await fleet.upstreams.applyPlainServiceFault(findPlainUpstream('a'), {type: 'late', delay: 500});
		const first = pay('a-host-1', body, ticket, 1500);
		await sleep(100);
		child.pause();
		const other = await pay('b-host-1', body, ticket, 2000);
		expect(other.outcome).toBe('outcome unknown');
		child.resume();
		await first;
		await fleet.upstreams.applyPlainServiceFault(findPlainUpstream('a'), {type: 'heal'});
		await pay('a-host-2', body, ticket);
		expect(await ledger.check(fleet)).toEqual([]);
	});

	it.each([
		['refuses it', 0, {type: 'refuse', status: 503, count: 50}],
		['is gone before a byte is sent', 0, {type: 'crash', returnAfter: 20_000}],
		['crashes before the first token', 300, {type: 'crash', returnAfter: 300}],
		['crashes in the middle of the answer', 1200, {type: 'crash', returnAfter: 300}],
		['cuts the stream and goes on', 0, {type: 'cut', afterFrames: 20, count: 2}],
		['cuts the stream before its last frame', 0, {type: 'cut', afterFrames: tokens - 1, count: 2}],
	] as const)('runs at most once when its engine %s', async (stage, after, fault) => {
		const body = JSON.stringify({...buildChatBody(stage, tokens), messages: [{role: 'user', content: `${stage} `.repeat(6000)}]});
		const ticket = await requestTicket(fleet, 'a-host-1');
		const send = async (host: string) => ledger.record(body, await sendOnce(fleet, {
			host,
			path: '/v1/chat/completions',
			body,
			ticket,
			timeout: 8000,
		}));
		const early = after === 0 ? fleet.upstreams.applyFaultToAllEngines(fault) : undefined;
		await early;
		const first = send('a-host-1');
		if (after > 0) {
			await sleep(after);
			await fleet.upstreams.applyFaultToAllEngines(fault);
		}

		const result = await first;
		expect(['done', 'failed', 'not run', 'outcome unknown']).toContain(result.outcome);
		expect(result.code).toBeGreaterThanOrEqual(0);
		await send('b-host-1');
		expect(await ledger.check(fleet)).toEqual([]);
	});

	it('runs at most once during a partition while its upstream drops a connection after running it', async () => {
		const tickets = await Promise.all(['a-host-1', 'a-host-2', 'b-host-1', 'b-host-2'].map(async host =>
			({host, ticket: await requestTicket(fleet, host)})));
		await fleet.upstreams.applyPlainServiceFault(findPlainUpstream('a'), {type: 'drop-after', count: 1});
		fleet.partition(['a'], ['b', 'platform']);
		await Promise.all(tickets.map(async ({host, ticket}) => pay(host, `both ${host}`, ticket)));
		fleet.heal();
		await sleep(2000);
		await Promise.all(tickets.map(async ({host, ticket}) => pay(host, `both ${host}`, ticket)));
		expect(await ledger.check(fleet)).toEqual([]);
	});
});

describe('a stream', () => {
	it('resumes at another host without gaps or repeats after its host dies', async () => {
		const prompt = 'resumed elsewhere';
		const before = await streamChat(fleet, {
			host: 'a-host-1',
			prompt,
			tokens,
			onFrame(count) {
				if (count === 10) {
					void fleet.killHost('a-host-1');
				}
			},
		});
		expect(before.isWhole).toBe(false);
		const after = await streamChat(fleet, {
			host: 'b-host-1',
			prompt,
			tokens,
			position: before.position!,
		});
		expect(after.isWhole).toBe(true);
		expect(before.text + after.text).toBe(getExpectedAnswer(prompt, tokens));
	});

	it('is complete and correct when frames are mixed up, repeated or reordered, or the connection is cut', async () => {
		await fleet.upstreams.applyFaultToAllEngines({type: 'cross', count: 20});
		await fleet.upstreams.applyFaultToAllEngines({type: 'repeat', count: 20});
		await fleet.upstreams.applyFaultToAllEngines({type: 'reorder', count: 20});
		await fleet.upstreams.applyFaultToAllEngines({type: 'cut', afterFrames: 30, count: 2});
		const prompts = Array.from({length: 12}, (_, index) => `mixed up ${index}`);
		const results = await Promise.all(prompts.map(async (prompt, index) =>
			streamChat(fleet, {host: index % 2 === 0 ? 'a-host-1' : 'a-host-2', prompt, tokens})));
		for (const [index, prompt] of prompts.entries()) {
			expect(results[index]).toMatchObject({isWhole: true, text: getExpectedAnswer(prompt, tokens)});
		}
	});

	it('is complete or ends with an error event when its engine dies during the answer', async () => {
		const prompt = 'engine dies';
		let isCrashed = false;
		const result = await streamChat(fleet, {
			host: 'a-host-1',
			prompt,
			tokens,
			onFrame() {
				if (!isCrashed) {
					isCrashed = true;
					void fleet.upstreams.applyFaultToAllEngines({type: 'crash', returnAfter: 200});
				}
			},
		});
		expect(result.isWhole ? result.text : result.error).not.toBe('');
		expect(result.isWhole ? result.text === getExpectedAnswer(prompt, tokens) : result.error.includes('outcome unknown')).toBe(true);
	});

	it('has its engine memory released after it ends', async () => {
		await Promise.all(Array.from({length: 8}, async (_, index) =>
			streamChat(fleet, {host: 'a-host-1', prompt: `held ${index}`, tokens})));
		for (const {address} of fleet.configuration.upstreams.filter(each => each.kind === 'engine')) {
			const url = `http://${address.host}:${address.port}`;
			// Load reports lag behind, so poll until they show the end.
			await expect.poll(async () => got(`${url}/v1/load`).json(), {timeout: 10_000}).toMatchObject({running: 0, waiting: 0});
			expect(await got(`${url}/v1/holds`).json()).toMatchObject({holds: []});
		}
	});
});
