/** Forwarding of requests with real processes: what callers and upstreams receive. */
import {Agent} from 'node:http';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {parseEventIds, createPromptHeaders} from '../../bench/gateway/caller-requests.js';
import {createConfiguration} from '../../bench/gateway/configuration.js';
import {Site} from '../../bench/gateway/site.js';

let site: Site;

beforeAll(async () => {
	site = await Site.start();
});

afterAll(async () => {
	await site[Symbol.asyncDispose]();
});

describe('a forwarded request', () => {
	it('keeps its method, path, body and id, and carries the organisation instead of the key', async () => {
		const answer = await site.ask({
			path: '/once/a%20b?x=1', id: 'pass-1', body: 'pay 10', headers: {'X-Custom': 'kept', 'X-Tenant': 'forged'},
		});
		expect(answer).toMatchObject({status: 200, isWhole: true, body: 'answer to pass-1: pay 10'});
		const [run, ...more] = site.ledger.findRuns('pass-1');
		expect(more).toEqual([]);
		expect(run).toMatchObject({method: 'POST', path: '/once/a%20b?x=1', body: 'pay 10'});
		expect(run!.headers).toMatchObject({
			host: 'api.example', 'x-custom': 'kept', 'x-tenant': 'acme', 'x-expect-instance': run!.upstream,
		});
		expect(run!.headers.authorization).toBeUndefined();
		const remainingTime = Number(run!.headers['x-deadline-ms']);
		expect(remainingTime).toBeGreaterThan(1000);
		expect(remainingTime).toBeLessThanOrEqual(1500);
	});

	it('streams events in order as they arrive', async () => {
		const times: number[] = [];
		const answer = await site.ask({
			path: '/ask/x',
			id: 'stream-1',
			headers: createPromptHeaders(3000, 12),
			body: 'prompt',
			onData() {
				times.push(performance.now());
			},
		});
		expect(answer).toMatchObject({status: 200, isWhole: true});
		expect(parseEventIds(answer)).toEqual([1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]);
		expect(times.length).toBeGreaterThan(5);
	});

	it('uses keep-alive connections to callers and upstreams', async () => {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		for (let index = 0; index < 5; index++) {
			const answer = await site.ask({
				path: '/read/x', id: `kept-${index}`, agent, method: 'GET',
			});
			expect(answer.status).toBe(200);
		}

		agent.destroy();
	});
});

describe('a request that is not forwarded', () => {
	it.each([
		['no route', {path: '/nothing/x', id: 'no-1'}, 404],
		['an unknown key', {path: '/read/x', id: 'no-2', headers: {authorization: 'Bearer other'}}, 401],
		['a body over the limit', {path: '/once/x', id: 'no-3', body: 'x'.repeat(100_001)}, 413],
		['no id', {path: '/once/x', id: ''}, 400],
		['the longest prefix leads to a service without upstreams', {path: '/read/deeper/x', id: 'no-4'}, 503],
	])('is answered immediately: %s', async (_name, asking, status) => {
		const answer = await site.ask(asking);
		expect(answer.status).toBe(status);
		expect(answer.took).toBeLessThan(700);
		expect(site.ledger.findRuns(asking.id)).toEqual([]);
	});

	it('has a Retry-After header if it has not run', async () => {
		const answer = await site.ask({path: '/read/deeper/x', id: 'later-1'});
		expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
	});

	it('needs no key on a public route', async () => {
		const answer = await site.ask({path: '/open/x', id: 'open-1', headers: {authorization: 'Bearer other'}});
		expect(answer.status).toBe(200);
		expect(site.ledger.findRuns('open-1')[0]!.headers['x-tenant']).toBeUndefined();
	});
});

describe('request lifetime', () => {
	it('ends at the route\'s deadline with a status that does not promise "not run"', async () => {
		for (const plain of site.plains) {
			plain.fault = 'dark';
		}

		const answer = await site.ask({path: '/once/x', id: 'late-1', body: 'b'});
		for (const plain of site.plains) {
			plain.fault = 'none';
		}

		expect(answer.status).toBe(504);
		expect(answer.took).toBeGreaterThan(1400);
		expect(answer.took).toBeLessThan(1950);
	});

	it('is cancelled when the caller disconnects', async () => {
		const leaving = new AbortController();
		const pendingAnswer = site.ask({
			path: '/ask/x',
			id: 'gone-1',
			headers: createPromptHeaders(2000, 400),
			signal: leaving.signal,
			onData() {
				leaving.abort();
			},
		});
		await expect(pendingAnswer.then(answer => answer.isWhole)).resolves.toBe(false);
		await expect.poll(() => site.hosts[0]!.findLogLines('ended', 'gone-1').length, {timeout: 2000}).toBe(1);
		expect(site.hosts[0]!.findLogLines('ended', 'gone-1')[0]).toMatchObject({outcome: 'caller left'});
	});
});

describe('configuration', () => {
	it('is applied soon after it is written, and never reverts to an older version', async () => {
		site.store.put('op/config', createConfiguration(7, {Tenants: [{Name: 'acme', ApiKeys: ['key-of-acme', 'new-key']}]}));
		await expect.poll(async () => {
			const answer = await site.ask({path: '/read/x', id: 'new-1', headers: {authorization: 'Bearer new-key'}});
			return answer.status;
		}, {timeout: 2000, interval: 50}).toBe(200);
		site.store.put('op/config', createConfiguration(3));
		site.store.put('op/config', {Version: 'nine'});
		await expect.poll(() => site.hosts[0]!.findLogLines('configuration-refused').length, {timeout: 3000}).toBe(1);
		const answer = await site.ask({path: '/read/x', id: 'new-2', headers: {authorization: 'Bearer new-key'}});
		expect(answer.status).toBe(200);
	});

	it('skips an invalid registration and keeps the others', async () => {
		site.store.put('servers/odd', {Service: 'plain', Address: 12});
		site.store.put('servers/odder', 'text');
		await expect.poll(() => site.hosts[0]!.findLogLines('registration-refused').length, {timeout: 3000}).toBe(2);
		const answer = await site.ask({path: '/read/x', id: 'odd-1'});
		expect(answer.status).toBe(200);
	});
});
