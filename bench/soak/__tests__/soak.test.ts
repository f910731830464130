/** Tests that the soak's checks can fail and its plans repeat, and runs the seeds that once found a bug. */
import {describe, expect, it} from 'vitest';
import {type Answer} from '../../gateway/caller-requests.js';
import {planFaults} from '../plan.js';
import {
	findBrokenGuarantees, hasReversion, type Outage, type RequestResult, type RequestRecord,
} from '../guarantees.js';
import {countPausable, findCommonPauses, pausableCount} from '../pausable-engines.js';
import {runSoak} from '../run.js';
import {findLateAtEvacuated, type StoreGap} from '../evacuations.js';
import {findIgnoredStatements} from '../statements.js';
import {type Statement} from '../../../stand-ins/gateway/upstream.js';

function buildAnswer(change: Partial<Answer> = {}): Answer {
	return {
		status: 200, headers: {}, body: 'a', isWhole: true, took: 10, ...change,
	};
}

function buildRequest(result: RequestResult, change: Partial<RequestRecord> = {}): RequestRecord {
	return {
		id: 'v', kind: 'once', host: 1, began: 1000, ended: 1100, limit: 1500, readingDelay: 0, expected: 'a', result, ...change,
	};
}

const ran = {
	request: 'v', upstream: 'u', method: 'POST', path: '/', headers: {}, body: '', at: 0,
};

describe('guarantees', () => {
	const whole: RequestResult = {type: 'answered', answer: buildAnswer(), received: 'a'};
	const cut: RequestResult = {type: 'cut', reason: 'ECONNRESET', isIdle: false};
	const killed: Outage = {
		host: 1, from: 1050, to: 1060, type: 'killed',
	};

	it('hold for a complete answer in time', () => {
		expect(findBrokenGuarantees([buildRequest(whole)], () => [ran], [], 0)).toEqual([]);
	});

	it.each<[string, RequestRecord, number]>([
		['late', buildRequest(whole, {ended: 4000}), 1],
		['never answered', buildRequest({type: 'never'}), 1],
		['for another request', buildRequest({type: 'answered', answer: buildAnswer(), received: 'b'}), 1],
		['reported as not executed, but ran', buildRequest({type: 'answered', answer: buildAnswer({status: 503, headers: {'x-not-executed': '1'}}), received: ''}), 1],
		['a promise that nothing ran, though it ran', buildRequest({type: 'answered', answer: buildAnswer({status: 429}), received: ''}), 1],
		['cut', buildRequest(cut), 1],
		['executed twice', buildRequest(whole), 2],
	])('are broken by an answer that is %s', (_, request, runs) => {
		expect(findBrokenGuarantees([request], () => Array.from({length: runs}, () => ran), [], 0)).toHaveLength(1);
	});

	it('excuse the time for which a caller reads nothing of its answer, and no more', () => {
		expect(findBrokenGuarantees([buildRequest(whole, {ended: 4000, readingDelay: 400})], () => [ran], [], 0)).toEqual([]);
		expect(findBrokenGuarantees([buildRequest(whole, {ended: 4200, readingDelay: 400})], () => [ran], [], 0)).toHaveLength(1);
		expect(findBrokenGuarantees([buildRequest({type: 'never'}, {ended: 4000, readingDelay: 400})], () => [ran], [], 0)).toContain('v got no answer from host 1');
	});

	it('excuse a lost connection only during a matching outage of the same host', () => {
		expect(findBrokenGuarantees([buildRequest(cut)], () => [ran], [killed], 0)).toEqual([]);
		expect(findBrokenGuarantees([buildRequest(cut)], () => [ran], [{...killed, host: 2}], 0)).toHaveLength(1);
		expect(findBrokenGuarantees([buildRequest(cut)], () => [ran], [{...killed, type: 'paused'}], 0)).toHaveLength(1);
		expect(findBrokenGuarantees([buildRequest({...cut, isIdle: true})], () => [ran], [{...killed, type: 'stopping'}], 0)).toEqual([]);
	});

	it('excuse a lost connection to a host that has long been stopping, if nothing ran', () => {
		const stopping: Outage = {
			host: 1, from: 0, to: 5000, type: 'stopping',
		};
		const late = buildRequest(cut, {began: 3000, ended: 3010});
		expect(findBrokenGuarantees([late], () => [], [stopping], 0)).toEqual([]);
		expect(findBrokenGuarantees([late], () => [ran], [stopping], 0)).toHaveLength(1);
		expect(findBrokenGuarantees([{...late, began: 2000}], () => [], [stopping], 0)).toHaveLength(1);
	});

	it('are broken by an answer that began at an engine that is only paused and has a gap, unless its deadline passed or its host was killed', () => {
		const partial = buildRequest({type: 'answered', answer: buildAnswer({isWhole: false}), received: 2}, {kind: 'unresumed', limit: 8000, expected: 3});
		expect(findBrokenGuarantees([partial], () => [ran], [], 0)).toHaveLength(1);
		expect(findBrokenGuarantees([{...partial, result: {type: 'answered', answer: buildAnswer({isWhole: false}), received: -1}}], () => [ran], [], 0)).toHaveLength(1);
		expect(findBrokenGuarantees([partial], () => [ran], [{...killed, type: 'stopping'}], 0)).toHaveLength(1);
		expect(findBrokenGuarantees([partial], () => [ran], [{...killed, host: 2}], 0)).toHaveLength(1);
		expect(findBrokenGuarantees([partial], () => [ran], [killed], 0)).toEqual([]);
		expect(findBrokenGuarantees([{...partial, ended: 9000}], () => [ran], [], 0)).toEqual([]);
		expect(findBrokenGuarantees([{...partial, kind: 'ask'}], () => [ran], [], 0)).toEqual([]);
	});

	it('detect a host that reverts to an earlier configuration', () => {
		expect([hasReversion([1, 2, 5]), hasReversion([1, 3, 2]), hasReversion([2, 2])]).toEqual([false, true, true]);
	});
});

describe('statements of upstreams', () => {
	const answered: RequestResult = {type: 'answered', answer: buildAnswer(), received: 'a'};
	const killed: Outage = {
		host: 1, from: 1500, to: 1510, type: 'killed',
	};

	/** Requests through host 1 that reach the upstream one millisecond after they began and are answered after two. */
	function play(times: readonly number[], statement: Partial<Statement>, outages: readonly Outage[] = []): readonly string[] {
		const requests = times.map((began, index) => buildRequest(answered, {id: `r${index}`, began, ended: began + 2}));
		const arrivals = requests.map(({id, began}) => ({
			request: id, at: began + 1, process: 1, statement: {at: began + 1, isLeaving: false, ...statement},
		}));
		return findIgnoredStatements([{id: 'u', arrivals}], requests, outages, 0);
	}

	function repeat(count: number, interval: number): readonly number[] {
		return Array.from({length: count}, (_, index) => index * interval);
	}

	it('that it leaves are ignored by a request that began later than the drain delay', () => {
		expect(play([0, 2000], {isLeaving: true})).toEqual([]);
		expect(play([0, 2010], {isLeaving: true})).toHaveLength(1);
		expect(play([0, 2010], {isLeaving: true}, [killed])).toEqual([]);
	});

	it('for how long it wants no requests are ignored by more than two of them', () => {
		expect(play([0, 400, 600, 700], {retryAfter: 1})).toEqual([]);
		expect(play([0, 400, 600, 700, 800], {retryAfter: 1})).toHaveLength(1);
	});

	it('of a rate limit are ignored by more than its bound in any four seconds, once it has settled', () => {
		expect(play(repeat(60, 50), {rateLimit: 1})).toEqual([]);
		expect(play(repeat(30, 500), {rateLimit: 1})).toEqual([]);
		expect(play(repeat(60, 250), {rateLimit: 1})).toHaveLength(1);
		expect(play(repeat(60, 250), {rateLimit: 4})).toEqual([]);
	});
});

describe('orders to evacuate a failure domain', () => {
	/** Requests through host 1 that reach an upstream of domain b, evacuated from 1,000 to 20,000 ms. */
	function play(times: readonly number[], gaps: readonly StoreGap[] = [], failureDomain = 'b'): readonly string[] {
		const requests = times.map((began, index) => buildRequest({type: 'never'}, {id: `r${index}`, began}));
		const arrivals = requests.map(({id, began}) => ({request: id, at: began, process: 1}));
		return findLateAtEvacuated([{id: 'u', failureDomain, arrivals}], requests, {evacuations: [{domain: 'b', from: 1000, to: 20_000}], gaps}, 0);
	}

	it('are ignored by a request that arrives there between the bound and the revocation', () => {
		expect(play([500, 5900, 20_100])).toEqual([]);
		expect(play([6100, 19_000])).toHaveLength(2);
		expect(play([6100], [], 'a')).toEqual([]);
	});

	it('may be learned later by a host that could not read the store, until the bound after it could', () => {
		expect(play([8900], [{from: 3000, to: 4000}])).toEqual([]);
		expect(play([9100], [{from: 3000, to: 4000}])).toHaveLength(1);
		expect(play([8900], [{host: 1, from: 3000, to: 4000}])).toEqual([]);
		expect(play([8900], [{host: 2, from: 3000, to: 4000}])).toHaveLength(1);
		expect(play([8900], [{from: 7000, to: 8000}])).toHaveLength(1);
	});
});

describe('pauses of engines', () => {
	it('are common while all engines are paused', () => {
		const pauses = [[0, 1000, 2500], [1, 1200, 2300], [0, 3000, 4000], [1, 4000, 5000]].map(([engine, from, to]) => ({engine: engine!, from: from!, to: to!}));
		expect(findCommonPauses(pauses, 2)).toEqual([{from: 1200, to: 2300}]);
	});

	it('count requests that were sent again meanwhile', () => {
		const pauses = Array.from({length: pausableCount}, (_, engine) => ({engine, from: 1000, to: 2000}));
		const request = buildRequest({type: 'answered', answer: buildAnswer(), received: 3}, {
			kind: 'pausable', began: 900, ended: 3000, expected: 3,
		});
		const count = (second: number) => countPausable([request], () => [{...ran, at: 950}, {...ran, at: second}], pauses);
		expect(count(2100)).toEqual({
			requests: 1, begun: 1, whole: 1, commonlyPaused: 1, repeated: 1,
		});
		expect(count(2900).repeated).toBe(0);
	});
});

describe('planFaults', () => {
	const options = {
		hosts: 3, upstreams: 5, engines: 3, pausableEngines: 4, links: 5, domains: 2, length: 60_000, hasSeverableLinks: true,
	};

	it('returns the same plan for the same seed, and draws every type of fault', () => {
		const all = Array.from({length: 10}, (_, seed) => planFaults(seed + 1, options));
		expect(planFaults(1, options)).toEqual(all[0]);
		expect(new Set(all.flat().map(({fault}) => fault.type)).size).toBe(23);
	});
});

describe('real gateway processes', () => {
	it.each([
		[3, false, true, 'a caller that connected as a stop ended lost its connection'],
		[404, false, true, 'a caller whose connection was not accepted when the socket closed lost it'],
		[110_002, true, true, 'hosts lose their links to upstreams'],
		[170_001, false, false, 'answers of engines that signals stop are given up without a retry budget'],
	])('keep every guarantee (seed %i, severable links %s, retry budget %s: %s)', {timeout: 120_000}, async (seed, hasSeverableLinks, hasRetryBudget) => {
		const result = await runSoak({
			seed, hosts: 3, clients: 8, length: 12_000, hasSeverableLinks, hasRetryBudget,
		});
		expect(result.broken, result.history.join('\n')).toEqual([]);
		expect(result.served).toBeGreaterThan(50);
	});
});
