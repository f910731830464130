import {Map as Table} from 'immutable';
import {describe, expect, it} from 'vitest';
import {
	codes, configurationSchema, type Configuration, type Ending, type Event, type Policy, type Proof, type Request, type State,
} from '../index.js';
import {isIdle, queueLength} from '../features/requests/queries.js';
import {computeShare} from '../features/limits/queries.js';
import {type Peer} from '../features/membership/types.js';
import {
	applyEvents, createConfiguration, createMember, createRequest, createServingState, effectsOf,
} from './fixtures.js';

const idempotent: Proof = {type: 'idempotent'};
const connectionLost: Ending = {
	type: 'unknown', code: codes.outcomeUnknown, detail: 'reset', relayed: false,
};
const connectionRefused: Ending = {
	type: 'not-run', code: codes.notConnected, overload: false, detail: 'refused',
};
const upstreamOverloaded: Ending = {
	type: 'not-run', code: codes.refusedByUpstream, overload: true, detail: 'full',
};

type ConfigurationChange = Partial<Pick<Configuration, 'failureDomains' | 'organisations' | 'upstreams'>>;

/** A model service at engines with memory for 100,000 tokens that prefill 10,000 tokens per second. */
function createModelConfiguration(engines: number, policy: Policy = 'cost', change: ConfigurationChange = {}): Configuration {
	return configurationSchema.parse({
		...createConfiguration(),
		services: [{
			id: 'm', kind: 'model', model: 'm', deadline: {default: 10_000, most: 100_000}, idempotent: true, queueLimit: 8, policy,
		}],
		organisations: ['large', 'small'].map(id => ({id, keyHashes: []})),
		upstreams: Array.from({length: engines}, (_, index) => createEngine(`e${index}`)),
		...change,
	});
}

function createEngine(id: string, failureDomain = 'a'): Configuration['upstreams'][number] {
	return {
		id, kind: 'engine', service: 'm', failureDomain, address: {host: '127.0.0.1', port: 1}, memory: 100_000, prefillRate: 10_000, decodeInterval: 1, batch: 4, fencing: true,
	};
}

function createPromptArrival(id: string, promptTokens: number, overrides: Partial<Request> = {}): Event {
	return createArrival(id, {
		service: 'm', organisation: 'large', promptTokens, outputLimit: 10, deadline: 10_000, fingerprint: id, ...overrides,
	});
}

function createArrival(id: string, overrides: Partial<Request> = {}, proof: Proof = idempotent): Event {
	return {type: 'request-arrived', request: createRequest(id, proof, overrides)};
}

function createAttemptEnd(attempt: string, ending: Ending): Event {
	return {type: 'attempt-ended', attempt, ending};
}

function createAttemptSuccess(attempt: string): Event {
	return createAttemptEnd(attempt, {type: 'done', tokens: 1});
}

function answers({effects}: ReturnType<typeof applyEvents>) {
	return effectsOf(effects, 'answer').map(each => ({request: each.request, ...each.outcome}));
}

function sends({effects}: ReturnType<typeof applyEvents>) {
	return effectsOf(effects, 'send').map(each => each.request);
}

function withPeer(state: State, peer: Partial<Peer> & Pick<Peer, 'member'>): State {
	const completePeer: Peer = {
		phase: 'serving', status: 'live', connected: true, lastSeen: 0, addedAt: 0, changed: 0, sequence: 1, hasAllLoads: true, revision: 1, digest: 'd', loads: Table(), demands: [], mixes: [], ...peer,
	};
	const peers = state.membership.peers.set(peer.member.incarnation.host, completePeer);
	return {...state, membership: {...state.membership, peers}};
}

describe('retries', () => {
	it('tries another upstream after a lost connection, if the request is idempotent', () => {
		const first = applyEvents(createServingState(createMember('a1')), 0, createArrival('r'));
		const again = applyEvents(first.state, 10, createAttemptEnd('r.1', connectionLost));
		const [before, after] = [...effectsOf(first.effects, 'send'), ...effectsOf(again.effects, 'send')];
		expect(after?.attempt).toBe('r.2');
		expect(after?.upstream).not.toBe(before?.upstream);
		expect(answers(again)).toEqual([]);
	});

	it('reports a lost connection without a retry if frames were relayed', () => {
		const first = applyEvents(createServingState(createMember('a1')), 0, createArrival('r'), {type: 'attempt-progressed', attempt: 'r.1', tokens: 1});
		expect(answers(applyEvents(first.state, 10, createAttemptEnd('r.1', connectionLost)))).toMatchObject([{type: 'unknown'}]);
	});

	it('does not retry a request refused under load', () => {
		const first = applyEvents(createServingState(createMember('a1')), 0, createArrival('r'));
		expect(answers(applyEvents(first.state, 10, createAttemptEnd('r.1', upstreamOverloaded)))).toMatchObject([{type: 'not-run', code: codes.refusedByUpstream}]);
	});

	it('never reports "not run" once an attempt may have run', () => {
		const first = applyEvents(createServingState(createMember('a1')), 0, createArrival('r'), createAttemptEnd('r.1', connectionLost));
		const last = applyEvents(first.state, 10, createAttemptEnd('r.2', connectionRefused), createAttemptEnd('r.3', connectionRefused));
		expect(answers(last)).toMatchObject([{type: 'unknown'}]);
	});

	it('stops when the retry budget of the service is spent', () => {
		const document = createConfiguration();
		const [service] = document.services;
		let state = createServingState(createMember('a1'), {...document, services: [{...service!, retryBudget: {ratio: 0, burst: 2}}]});
		const retried: string[] = [];
		for (const id of ['p', 'q', 'r']) {
			const next = applyEvents(state, 0, createArrival(id, {fingerprint: id}), createAttemptEnd(`${id}.1`, connectionRefused));
			state = next.state;
			retried.push(...effectsOf(next.effects, 'send').filter(each => each.attempt === `${id}.2`).map(each => each.request));
		}

		expect(retried).toEqual(['p', 'q']);
	});

	it('excludes an upstream that failed three times, then tries it once', () => {
		let state = createServingState(createMember('a1'), createConfiguration(['u1', 'u2']));
		const used = (now: number, id: string, ending: Ending) => {
			const next = applyEvents(state, now, createArrival(id, {fingerprint: id}), createAttemptEnd(`${id}.1`, ending));
			state = applyEvents(next.state, now, createAttemptEnd(`${id}.2`, {type: 'done', tokens: 1})).state;
			return effectsOf(next.effects, 'send')[0]?.upstream;
		};

		const first = used(0, 'a', connectionRefused);
		expect([used(0, 'b', connectionRefused), used(0, 'c', connectionRefused)]).toEqual([first, first]);
		expect(used(1, 'd', {type: 'done', tokens: 1})).not.toBe(first);
		expect(used(600, 'e', {type: 'done', tokens: 1})).toBe(first);
	});
});

describe('deadlines', () => {
	it('cancels a request that passes its deadline and answers at once', () => {
		const {state} = applyEvents(createServingState(createMember('a1')), 0, createArrival('r'));
		const late = applyEvents(state, 5000, {type: 'tick'});
		expect(effectsOf(late.effects, 'cancel')).toHaveLength(1);
		expect(answers(late)).toMatchObject([{type: 'failed', code: codes.deadlinePassed}]);
		expect(isIdle(late.state)).toBe(true);
	});

	it('refuses at once a request that cannot finish in time, with a retry delay', () => {
		const refusal = applyEvents(createServingState(createMember('a1'), createModelConfiguration(1)), 0, createPromptArrival('r', 90_000, {deadline: 2000}));
		expect(answers(refusal)).toMatchObject([{type: 'not-run', code: codes.deadlineUnreachable}]);
		expect(answers(refusal)[0]).toHaveProperty('retryAfter');
	});

	it('reports a request as not run if it was queued too long to be started', () => {
		const {state} = applyEvents(createServingState(createMember('a1'), createModelConfiguration(1)), 0, createPromptArrival('a', 30_000), createPromptArrival('b', 30_000));
		const late = applyEvents(state, 9000, {type: 'tick'});
		expect(answers(late)).toMatchObject([{request: 'b', type: 'not-run', code: codes.deadlineBeforeStart}]);
	});

	it('cancels a request that its caller abandoned', () => {
		const {state} = applyEvents(createServingState(createMember('a1')), 0, createArrival('r'));
		const left = applyEvents(state, 1, {type: 'request-abandoned', request: 'r'});
		expect(effectsOf(left.effects, 'cancel')).toHaveLength(1);
		expect(isIdle(left.state)).toBe(true);
	});
});

describe('queues', () => {
	it('queues a request that the engine could not start, and sends it once there is capacity', () => {
		const first = applyEvents(createServingState(createMember('a1'), createModelConfiguration(1)), 0, createPromptArrival('a', 20_000), createPromptArrival('b', 20_000));
		expect(sends(first)).toEqual(['a']);
		expect(queueLength(first.state, 'm')).toBe(1);
		const next = applyEvents(first.state, 2000, {type: 'attempt-progressed', attempt: 'a.1', tokens: 1});
		expect(sends(next)).toEqual(['b']);
	});

	it('sends a short prompt ahead of a long one that runs', () => {
		const {state} = applyEvents(createServingState(createMember('a1'), createModelConfiguration(1)), 0, createPromptArrival('long', 60_000));
		const short = applyEvents(state, 1, createPromptArrival('short', 1000));
		expect(sends(short)).toEqual(['short']);
		const [long, urgent] = [
			...effectsOf(applyEvents(createServingState(createMember('a1'), createModelConfiguration(1)), 0, createPromptArrival('l', 60_000)).effects, 'send'),
			...effectsOf(short.effects, 'send'),
		];
		expect(urgent!.priority).toBeLessThan(long!.priority);
	});

	it('serves a small organisation in turn despite the backlog of a large one', () => {
		const crowd = ['b', 'c', 'd', 'e'].map(id => createPromptArrival(id, 5000));
		let {state} = applyEvents(
			createServingState(createMember('a1'), createModelConfiguration(1)),
			0,
			createPromptArrival('a', 5000),
			...crowd,
			createPromptArrival('s', 5000, {organisation: 'small'}),
		);
		const order: string[] = ['a'];
		for (let now = 500; now < 3000; now += 500) {
			const next = applyEvents(state, now, {type: 'attempt-progressed', attempt: `${order.at(-1)!}.1`, tokens: 1}, createAttemptSuccess(`${order.at(-1)!}.1`));
			state = next.state;
			order.push(...sends(next));
		}

		expect(order.slice(0, 3)).toContain('s');
		expect(order).toHaveLength(6);
	});

	it('lets a request that waited long overtake one of higher priority', () => {
		const waiting = applyEvents(
			createServingState(createMember('a1'), createModelConfiguration(1)),
			0,
			createPromptArrival('a', 5000),
			createPromptArrival('old', 5000, {priority: 6, organisation: 'small'}),
		);
		const later = applyEvents(waiting.state, 1200, createPromptArrival('new', 5000, {priority: 5, deadline: 20_000}));
		expect(sends(later)).toEqual([]);
		expect(sends(applyEvents(later.state, 1201, {type: 'attempt-progressed', attempt: 'a.1', tokens: 1}))).toEqual(['old']);
	});

	it('is bounded, and reserves a slot for organisations with no queued requests', () => {
		const crowd = Array.from({length: 12}, (_, index) => createPromptArrival(`r${index}`, 5000, {deadline: 100_000}));
		const full = applyEvents(createServingState(createMember('a1'), createModelConfiguration(1)), 0, ...crowd);
		expect(answers(full)).toHaveLength(3);
		expect(answers(full)[0]).toMatchObject({type: 'not-run', code: codes.overloaded});
		expect(answers(applyEvents(full.state, 0, createPromptArrival('s', 5000, {organisation: 'small', deadline: 100_000})))).toEqual([]);
	});
});

describe('limits', () => {
	const limited = (domains: readonly string[]) => createModelConfiguration(2, 'cost', {
		failureDomains: domains.map(id => ({id, region: 'r'})),
		organisations: [{
			id: 'large', keyHashes: [], priority: 5, weight: 1, limits: {requestsPerSecond: 4},
		}],
	});

	it('refuses requests beyond an organisation\'s rate and accepts them again later', () => {
		const crowd = Array.from({length: 8}, (_, index) => createPromptArrival(`r${index}`, 100));
		const first = applyEvents(createServingState(createMember('a1'), limited(['a'])), 0, ...crowd);
		expect(answers(first).map(each => 'code' in each && each.code)).toEqual(Array.from({length: 4}, () => codes.organisationLimit));
		expect(answers(applyEvents(first.state, 1000, createPromptArrival('later', 100)))).toEqual([]);
	});

	it('falls back to the failure domain\'s share when other domains are unreachable', () => {
		const state = createServingState(createMember('a1'), limited(['a', 'b', 'c']));
		expect(computeShare(state, 'large', 0)).toBeCloseTo(1 / 3);
	});

	it('shifts shares towards demand', () => {
		const busyPeer = withPeer(createServingState(createMember('a1'), limited(['a'])), {
			member: createMember('a2'), demands: [{organisation: 'large', requestsPerSecond: 3, tokensPerSecond: 298}],
		});
		expect(computeShare(busyPeer, 'large', 0)).toBeCloseTo(1 / 300);
		const {state} = applyEvents(busyPeer, 0, createPromptArrival('r', 1485));
		expect(computeShare(state, 'large', 0)).toBeCloseTo(0.5, 1);
	});
});

describe('spilling', () => {
	const two = createModelConfiguration(0, 'cost', {
		failureDomains: [{id: 'a', region: 'r'}, {id: 'b', region: 'r'}],
		upstreams: [createEngine('e0'), createEngine('e1', 'b'), createEngine('e2', 'b')],
	});

	it('uses another failure domain within bounds while its own upstreams are unavailable, then returns', () => {
		const cut = applyEvents(createServingState(createMember('a1'), two), 0, {type: 'upstream-unreachable', upstream: 'e0'});
		const away = applyEvents(cut.state, 1, createPromptArrival('a', 1000), createPromptArrival('b', 1000));
		expect(effectsOf(away.effects, 'send').map(each => each.upstream)).toEqual([expect.stringMatching(/e[12]/v)]);
		expect(answers(away)).toMatchObject([{request: 'b', type: 'not-run', code: codes.noUpstream}]);
		expect(effectsOf(away.effects, 'count').filter(each => each.name === 'spilled')).toHaveLength(1);
		const back = applyEvents(away.state, 2, {
			type: 'report-received',
			report: {
				upstream: 'e0', incarnation: 'i', age: 0, ready: true, running: 0, waiting: 0, queuedPrefill: 0, usedMemory: 0, memory: 1,
			},
		}, createPromptArrival('c', 1000));
		expect(effectsOf(back.effects, 'send').map(each => each.upstream)).toEqual(['e0']);
	});

	it('spills a request that its own failure domain could not finish in time', () => {
		const first = applyEvents(createServingState(createMember('a1'), two), 0, createPromptArrival('a', 60_000), createPromptArrival('b', 60_000, {deadline: 7500}));
		expect(effectsOf(first.effects, 'send').map(each => each.upstream)).toEqual(['e0', expect.stringMatching(/e[12]/v)]);
	});
});

describe('policies', () => {
	it('chooses upstreams in turn, or by fewest requests, regardless of prompt lengths', () => {
		const crowd = Array.from({length: 4}, (_, index) => createPromptArrival(`r${index}`, index === 0 ? 60_000 : 100));
		for (const policy of ['round-robin', 'least-requests'] as const) {
			const {effects} = applyEvents(createServingState(createMember('a1'), createModelConfiguration(2, policy)), 0, ...crowd);
			const used = effectsOf(effects, 'send').map(each => each.upstream);
			expect(used.filter(each => each === 'e0')).toHaveLength(2);
		}
	});

	it('returns to the engine that holds the prefix', () => {
		const blocks = ['x', 'y', 'z'];
		const first = applyEvents(createServingState(createMember('a1'), createModelConfiguration(6)), 0, createPromptArrival('a', 768, {blocks}), createAttemptSuccess('a.1'));
		const [home] = effectsOf(first.effects, 'send').map(each => each.upstream);
		const other = effectsOf(first.effects, 'log').length;
		expect(other).toBeGreaterThan(0);
		const again = applyEvents(first.state, 10, createPromptArrival('b', 1024, {blocks: [...blocks, 'w']}));
		expect(effectsOf(again.effects, 'send').map(each => each.upstream)).toEqual([home]);
		const cleared = applyEvents(again.state, 20, {
			type: 'cache-changed', upstream: home!, incarnation: 'i', gap: false, changes: [{sequence: 1, type: 'cleared', blocks: []}],
		});
		expect(cleared.state.prefixes.epochs.get(home!)).toBe(1);
	});
});
