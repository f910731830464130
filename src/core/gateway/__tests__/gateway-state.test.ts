/** State that a gateway decides by: jobs, health, retry budget, reachability, suspicions and routes. */
import {describe, expect, it} from 'vitest';
import {estimatePrefill, estimateDecodeIteration} from '../engines/engine.js';
import {Directory} from '../registry/directory.js';
import {Health} from '../health/health.js';
import {StoreOutages} from '../registry/store-outages.js';
import {Load, type Job} from '../engines/load.js';
import {Reachability} from '../health/reachability.js';
import {isRepeatable, RetryBudget} from '../limits/retries.js';
import {type EngineModel, type Route} from '../types.js';

const model: EngineModel = {
	slots: 11, memory: 232_000, stride: 43, step: 1, perRequest: 0, perThousand: 0, readRate: 200, pairs: 0.1, chunk: 2048, hop: 0, usualPrompt: 12_000, usualAnswer: 1300,
};

function job(id: string, change: Partial<Job> = {}): Job {
	return {
		id, host: 'h1', upstream: 'e1', helpers: [], prompt: 1000, answer: 100, isHeld: false, read: 100, readPerPass: 100, placing: 'first', weight: 1, began: 0, due: 300, deadline: 5000, ...change,
	};
}

describe('estimated engine times', () => {
	it('grow with the square of the prompt length and shrink with the number of engines that share it', () => {
		const one = estimatePrefill(model, 100_000);
		expect(one.total).toBeCloseTo(500 + 500 + 49, 0);
		expect(estimatePrefill(model, 100_000, 4).total).toBeCloseTo(one.total / 4, -1);
		expect(estimatePrefill(model, 200_000).total / one.total).toBeGreaterThan(2.5);
	});

	it('of one iteration are bounded by the tokens that it can prefill', () => {
		expect(estimatePrefill(model, 400_000).perIteration).toBeLessThan(estimatePrefill(model, 400_000).total / 2.5);
		expect(estimatePrefill(model, 5000).perIteration).toBe(estimatePrefill(model, 5000).total);
	});

	it('of decoding have a base and a part for each request', () => {
		expect(estimateDecodeIteration({...model, perRequest: 0.01, perThousand: 0.01}, [10_000, 0])).toBeCloseTo(43 * (1 + 0.02 + 0.1), 5);
	});
});

describe('the load', () => {
	it('tracks prefill and decode, and corrects the backlog when the first byte arrives', () => {
		const load = new Load();
		load.begin(job('a'), 0);
		load.begin(job('b'), 0);
		expect(load.forecast('e1', model, 50)).toMatchObject({requests: 2, backlog: 150});
		load.recordFirstByte('a', 60);
		expect(load.forecast('e1', model, 60).backlog).toBeLessThanOrEqual(140);
		expect(load.forecast('e1', model, 60).decoding.map(each => each.id)).toEqual(['a']);
		load.end('b', 70);
		expect(load.forecast('e1', model, 70)).toMatchObject({backlog: 0, requests: 1});
		load.end('a', 80);
		expect(load.size).toBe(0);
		expect(load.forecast('e1', model, 80).freeMemory).toBe(model.memory);
	});

	it('adds a job once, in whatever order its load updates arrive', () => {
		const load = new Load();
		load.begin(job('a'), 0);
		load.recordFirstByte('a', 10);
		load.begin(job('a'), 20);
		expect(load.get('a')?.firstByte).toBe(10);
		load.end('a', 30);
		load.begin(job('a'), 40);
		load.end('b', 40);
		load.begin(job('b'), 50);
		expect(load.size).toBe(0);
		load.forgetHost('h1', 50);
		load.removeExpired(5000);
		load.begin(job('b'), 5000);
		expect(load.size).toBe(1);
	});

	it('counts prefill at helpers and holds at each engine', () => {
		const load = new Load();
		load.begin(job('a', {helpers: ['e2'], isHeld: true, prompt: 100_000}), 0);
		expect(load.forecast('e2', model, 0)).toMatchObject({requests: 0, backlog: 100});
		expect(load.forecast('e2', model, 0).freeMemory).toBeLessThan(model.memory - 50_000);
	});

	it('removes jobs of failed hosts, of restarted upstreams and past their deadlines', () => {
		const load = new Load();
		load.begin(job('a'), 0);
		load.begin(job('b', {host: 'h2'}), 0);
		load.begin(job('c', {host: 'h2', upstream: 'e2', helpers: ['e1']}), 0);
		load.forgetHost('h1', 1);
		expect(load.get('a')).toBeUndefined();
		load.forgetUpstream('e1', 1);
		expect([load.get('b'), load.get('c')?.id]).toEqual([undefined, 'c']);
		load.removeExpired(5400);
		expect(load.size).toBe(1);
		load.removeExpired(5600);
		expect(load.size).toBe(0);
	});
});

describe('health', () => {
	it('falls with failures and recovers with time', () => {
		const health = new Health();
		const before = health.failureProbability('e', 0);
		for (let index = 0; index < 4; index++) {
			health.record('e', 'faulty', 0);
		}

		expect(health.failureProbability('e', 0)).toBeGreaterThan(0.4);
		expect(health.failureProbability('e', 20_000)).toBeLessThan(before * 3);
		expect(health.isBackedOff('e', 0)).toBe(false);
	});

	it('backs off an upstream without connections, longer each time, up to two seconds', () => {
		const health = new Health();
		health.record('e', 'unreachable', 0);
		expect([health.isBackedOff('e', 249), health.isBackedOff('e', 251)]).toEqual([true, false]);
		for (let index = 0; index < 9; index++) {
			health.record('e', 'unreachable', 1000);
		}

		expect([health.isBackedOff('e', 2999), health.isBackedOff('e', 3001)]).toEqual([true, false]);
		health.record('e', 'sound', 1000);
		expect(health.isBackedOff('e', 1001)).toBe(false);
	});
});

describe('retries', () => {
	it('stay within the share of the common limits that a host may use', () => {
		const budget = new RetryBudget({ratio: 0.2, window: 10_000, allowance: 100});
		let made = 0;
		for (let now = 0; now < 10_000; now += 10) {
			budget.countRequest('s', now);
			if (budget.allowsRetry('s', {hosts: 10, counted: 1}, now)) {
				budget.countRetry('s', now);
				made++;
			}
		}

		expect(made).toBeLessThanOrEqual((1000 * 0.2) + 10);
		expect(made).toBeGreaterThan(100);
	});

	it('are allowed again as the window slides', () => {
		const budget = new RetryBudget({ratio: 0, window: 1000, allowance: 10});
		for (let index = 0; index < 7; index++) {
			budget.countRetry('s', 0);
		}

		expect(budget.allowsRetry('s', {hosts: 1, counted: 1}, 500)).toBe(false);
		expect(budget.allowsRetry('s', {hosts: 1, counted: 1}, 1001)).toBe(true);
		expect(budget.allowsRetry('t', {hosts: 1, counted: 1}, 500)).toBe(true);
	});

	it.each([
		['idempotent', false, [true, true, true, false, false]],
		['non-idempotent', false, [true, false, false, false, false]],
		['streaming', false, [true, false, false, false, false]],
		['streaming', true, [true, true, true, false, false]],
	] as const)('of a request that is %s, resumable %s', (kind, isResumable, expected) => {
		const endings = [
			{type: 'not-run', reason: '', isShed: true}, {type: 'failed', status: 500}, {type: 'unknown', reason: ''}, {type: 'answered', status: 200}, {type: 'cancelled', reason: 'time over'},
		] as const;
		expect(endings.map(ending => isRepeatable({kind, isResumable}, ending))).toEqual(expected);
	});
});

describe('reachability', () => {
	it('considers a link cut after two upstreams of a domain fail, until one answers or a second has passed', () => {
		const reachability = new Reachability();
		reachability.recordFailure('b', 'e1', 0);
		reachability.recordFailure('b', 'e1', 10);
		expect([...reachability.findUnreachable(20)]).toEqual([]);
		reachability.recordFailure('b', 'e2', 30);
		expect([...reachability.findUnreachable(40)]).toEqual(['b']);
		expect([...reachability.findUnreachable(1020)]).toEqual([]);
		reachability.recordFailure('b', 'e1', 1025);
		expect([...reachability.findUnreachable(1029)]).toEqual(['b']);
		reachability.recordSuccess('b', 1030);
		expect([...reachability.findUnreachable(1031)]).toEqual([]);
		expect([reachability.hasLiveUpstreams('b', 1100), reachability.hasLiveUpstreams('b', 2100), reachability.hasLiveUpstreams('c', 1100)]).toEqual([true, false, false]);
	});
});

describe('store outages', () => {
	it('delay the removal of upstreams until two seconds after their end, whenever the registration expired', () => {
		const outages = new StoreOutages();
		expect(outages.removalDelay(1000)).toBe(0);
		outages.markLost();
		expect(outages.removalDelay(5000)).toBe(2000);
		outages.markRegained(8000);
		expect([outages.removalDelay(8000), outages.removalDelay(8900), outages.removalDelay(10_000), outages.removalDelay(11_000)]).toEqual([2000, 1100, 0, 0]);
		outages.markRegained(12_000);
		expect(outages.removalDelay(12_000)).toBe(0);
	});
});

describe('the directory', () => {
	const route = (name: string, prefix: string, isPublic = false): Route => ({
		name, authority: 'Api.example', prefix, kind: 'idempotent', timeout: 1, objective: 1, priority: 0, targets: [], attempts: 1, isPublic, isResumable: false,
	});
	const directory = new Directory({
		version: 1,
		routes: [route('all', '/'), route('a', '/a/'), route('ab', '/a/b/'), route('open', '/open/', true)],
		services: [],
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1,
		},
		organisations: [{name: 'acme', keys: ['k']}],
	});

	it.each([
		['/a/b/c', 'ab'], ['/a/bc', 'a'], ['/a/b/', 'ab'], ['/a', 'all'], ['/x/y', 'all'], ['/', 'all'],
	])('resolves %s to the route with the longest matching prefix', (path, name) => {
		const found = directory.resolve('api.EXAMPLE', path, 'k');
		expect(found).toMatchObject({type: 'routed', route: {name}, organisation: {name: 'acme'}});
	});

	it('distinguishes an unknown authority from an unknown key', () => {
		expect(directory.resolve('other', '/a/', 'k').type).toBe('no-route');
		expect(directory.resolve('api.example', '/a/', 'x').type).toBe('unknown-key');
		expect(directory.resolve('api.example', '/a/', undefined).type).toBe('unknown-key');
		expect(directory.resolve('api.example', '/open/x', undefined)).toMatchObject({type: 'routed', organisation: undefined});
	});
});
