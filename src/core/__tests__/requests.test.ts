import {Map as Table} from 'immutable';
import {describe, expect, it} from 'vitest';
import {
	codes, configurationSchema, type Configuration, type Ending, type Event, type Policy, type Proof, type Request, type State,
} from '../index.js';
import {isIdle, queueLength} from '../features/requests/queries.js';
import {share} from '../features/limits/queries.js';
import {type Peer} from '../features/membership/types.js';
import {
	configuration, effectsOf, member, play, request, serving,
} from './hosts.js';

const idempotent: Proof = {type: 'idempotent'};
const gone: Ending = {
	type: 'unknown', code: codes.outcomeUnknown, detail: 'reset', relayed: false,
};
const refused: Ending = {
	type: 'not-run', code: codes.notConnected, overload: false, detail: 'refused',
};
const busy: Ending = {
	type: 'not-run', code: codes.refusedByUpstream, overload: true, detail: 'full',
};

type Change = Partial<Pick<Configuration, 'failureDomains' | 'organisations' | 'upstreams'>>;

/** A model service before engines of 100,000 tokens and 10,000 tokens of prefill a second. */
function models(engines: number, policy: Policy = 'cost', change: Change = {}): Configuration {
	return configurationSchema.parse({
		...configuration(),
		services: [{
			id: 'm', kind: 'model', model: 'm', deadline: {default: 10_000, most: 100_000}, idempotent: true, queueLimit: 8, policy,
		}],
		organisations: ['large', 'small'].map(id => ({id, keyHashes: []})),
		upstreams: Array.from({length: engines}, (_, index) => engine(`e${index}`)),
		...change,
	});
}

function engine(id: string, failureDomain = 'a'): Configuration['upstreams'][number] {
	return {
		id, kind: 'engine', service: 'm', failureDomain, address: {host: '127.0.0.1', port: 1}, memory: 100_000, prefillRate: 10_000, decodeInterval: 1, batch: 4, fencing: true,
	};
}

function prompt(id: string, promptTokens: number, more: Partial<Request> = {}): Event {
	return arrival(id, {
		service: 'm', organisation: 'large', promptTokens, outputLimit: 10, deadline: 10_000, fingerprint: id, ...more,
	});
}

function arrival(id: string, more: Partial<Request> = {}, proof: Proof = idempotent): Event {
	return {type: 'request-arrived', request: request(id, proof, more)};
}

function ended(attempt: string, ending: Ending): Event {
	return {type: 'attempt-ended', attempt, ending};
}

function done(attempt: string): Event {
	return ended(attempt, {type: 'done', tokens: 1});
}

function answers({effects}: ReturnType<typeof play>) {
	return effectsOf(effects, 'answer').map(each => ({request: each.request, ...each.outcome}));
}

function sends({effects}: ReturnType<typeof play>) {
	return effectsOf(effects, 'send').map(each => each.request);
}

function withPeer(state: State, peer: Partial<Peer> & Pick<Peer, 'member'>): State {
	const whole: Peer = {
		phase: 'serving', status: 'live', connected: true, heard: 0, learnt: 0, changed: 0, sequence: 1, isWhole: true, revision: 1, digest: 'd', loads: Table(), demands: [], mixes: [], ...peer,
	};
	const peers = state.membership.peers.set(peer.member.incarnation.host, whole);
	return {...state, membership: {...state.membership, peers}};
}

describe('retries', () => {
	it('tries another upstream after a lost connection, if the request may be repeated', () => {
		const first = play(serving(member('a1')), 0, arrival('r'));
		const again = play(first.state, 10, ended('r.1', gone));
		const [before, after] = [...effectsOf(first.effects, 'send'), ...effectsOf(again.effects, 'send')];
		expect(after?.attempt).toBe('r.2');
		expect(after?.upstream).not.toBe(before?.upstream);
		expect(answers(again)).toEqual([]);
	});

	it('answers a lost connection as it is where frames were relayed', () => {
		const first = play(serving(member('a1')), 0, arrival('r'), {type: 'attempt-progressed', attempt: 'r.1', tokens: 1});
		expect(answers(play(first.state, 10, ended('r.1', gone)))).toMatchObject([{type: 'unknown'}]);
	});

	it('does not retry what was refused for load', () => {
		const first = play(serving(member('a1')), 0, arrival('r'));
		expect(answers(play(first.state, 10, ended('r.1', busy)))).toMatchObject([{type: 'not-run', code: codes.refusedByUpstream}]);
	});

	it('never says not run once an attempt may have run', () => {
		const first = play(serving(member('a1')), 0, arrival('r'), ended('r.1', gone));
		const last = play(first.state, 10, ended('r.2', refused), ended('r.3', refused));
		expect(answers(last)).toMatchObject([{type: 'unknown'}]);
	});

	it('stops when the service has spent its budget', () => {
		const document = configuration();
		const [service] = document.services;
		let state = serving(member('a1'), {...document, services: [{...service!, retryBudget: {ratio: 0, burst: 2}}]});
		const retried: string[] = [];
		for (const id of ['p', 'q', 'r']) {
			const next = play(state, 0, arrival(id, {fingerprint: id}), ended(`${id}.1`, refused));
			state = next.state;
			retried.push(...effectsOf(next.effects, 'send').filter(each => each.attempt === `${id}.2`).map(each => each.request));
		}

		expect(retried).toEqual(['p', 'q']);
	});

	it('leaves an upstream alone that failed three times, then tries it once', () => {
		let state = serving(member('a1'), configuration(['u1', 'u2']));
		const used = (now: number, id: string, ending: Ending) => {
			const next = play(state, now, arrival(id, {fingerprint: id}), ended(`${id}.1`, ending));
			state = play(next.state, now, ended(`${id}.2`, {type: 'done', tokens: 1})).state;
			return effectsOf(next.effects, 'send')[0]?.upstream;
		};

		const first = used(0, 'a', refused);
		expect([used(0, 'b', refused), used(0, 'c', refused)]).toEqual([first, first]);
		expect(used(1, 'd', {type: 'done', tokens: 1})).not.toBe(first);
		expect(used(600, 'e', {type: 'done', tokens: 1})).toBe(first);
	});
});

describe('deadlines', () => {
	it('cancels what runs past its deadline and says so at once', () => {
		const {state} = play(serving(member('a1')), 0, arrival('r'));
		const late = play(state, 5000, {type: 'tick'});
		expect(effectsOf(late.effects, 'cancel')).toHaveLength(1);
		expect(answers(late)).toMatchObject([{type: 'failed', code: codes.deadlinePassed}]);
		expect(isIdle(late.state)).toBe(true);
	});

	it('refuses at once what cannot finish in time, with a time to come back', () => {
		const refusal = play(serving(member('a1'), models(1)), 0, prompt('r', 90_000, {deadline: 2000}));
		expect(answers(refusal)).toMatchObject([{type: 'not-run', code: codes.deadlineUnreachable}]);
		expect(answers(refusal)[0]).toHaveProperty('retryAfter');
	});

	it('gives up what waited too long to be started, as not run', () => {
		const {state} = play(serving(member('a1'), models(1)), 0, prompt('a', 30_000), prompt('b', 30_000));
		const late = play(state, 9000, {type: 'tick'});
		expect(answers(late)).toMatchObject([{request: 'b', type: 'not-run', code: codes.deadlineBeforeStart}]);
	});

	it('cancels what its caller left', () => {
		const {state} = play(serving(member('a1')), 0, arrival('r'));
		const left = play(state, 1, {type: 'request-abandoned', request: 'r'});
		expect(effectsOf(left.effects, 'cancel')).toHaveLength(1);
		expect(isIdle(left.state)).toBe(true);
	});
});

describe('queues', () => {
	it('keeps what an engine could not start in the host, and sends it when there is room', () => {
		const first = play(serving(member('a1'), models(1)), 0, prompt('a', 20_000), prompt('b', 20_000));
		expect(sends(first)).toEqual(['a']);
		expect(queueLength(first.state, 'm')).toBe(1);
		const next = play(first.state, 2000, {type: 'attempt-progressed', attempt: 'a.1', tokens: 1});
		expect(sends(next)).toEqual(['b']);
	});

	it('sends a short prompt past a long one that runs', () => {
		const {state} = play(serving(member('a1'), models(1)), 0, prompt('long', 60_000));
		const short = play(state, 1, prompt('short', 1000));
		expect(sends(short)).toEqual(['short']);
		const [long, urgent] = [...effectsOf(play(serving(member('a1'), models(1)), 0, prompt('l', 60_000)).effects, 'send'), ...effectsOf(short.effects, 'send')];
		expect(urgent!.priority).toBeLessThan(long!.priority);
	});

	it('serves a small organisation in its turn among a large one\'s backlog', () => {
		const crowd = ['b', 'c', 'd', 'e'].map(id => prompt(id, 5000));
		let {state} = play(serving(member('a1'), models(1)), 0, prompt('a', 5000), ...crowd, prompt('s', 5000, {organisation: 'small'}));
		const order: string[] = ['a'];
		for (let now = 500; now < 3000; now += 500) {
			const next = play(state, now, {type: 'attempt-progressed', attempt: `${order.at(-1)!}.1`, tokens: 1}, done(`${order.at(-1)!}.1`));
			state = next.state;
			order.push(...sends(next));
		}

		expect(order.slice(0, 3)).toContain('s');
		expect(order).toHaveLength(6);
	});

	it('lets what has waited long pass a better priority', () => {
		const waiting = play(serving(member('a1'), models(1)), 0, prompt('a', 5000), prompt('old', 5000, {priority: 6, organisation: 'small'}));
		const later = play(waiting.state, 1200, prompt('new', 5000, {priority: 5, deadline: 20_000}));
		expect(sends(later)).toEqual([]);
		expect(sends(play(later.state, 1201, {type: 'attempt-progressed', attempt: 'a.1', tokens: 1}))).toEqual(['old']);
	});

	it('is bounded, and holds a place for those with nothing in it', () => {
		const crowd = Array.from({length: 12}, (_, index) => prompt(`r${index}`, 5000, {deadline: 100_000}));
		const full = play(serving(member('a1'), models(1)), 0, ...crowd);
		expect(answers(full)).toHaveLength(3);
		expect(answers(full)[0]).toMatchObject({type: 'not-run', code: codes.overloaded});
		expect(answers(play(full.state, 0, prompt('s', 5000, {organisation: 'small', deadline: 100_000})))).toEqual([]);
	});
});

describe('limits', () => {
	const limited = (domains: readonly string[]) => models(2, 'cost', {
		failureDomains: domains.map(id => ({id, region: 'r'})),
		organisations: [{
			id: 'large', keyHashes: [], priority: 5, weight: 1, limits: {requestsPerSecond: 4},
		}],
	});

	it('refuses beyond an organisation\'s rate and takes it again later', () => {
		const crowd = Array.from({length: 8}, (_, index) => prompt(`r${index}`, 100));
		const first = play(serving(member('a1'), limited(['a'])), 0, ...crowd);
		expect(answers(first).map(each => 'code' in each && each.code)).toEqual(Array.from({length: 4}, () => codes.organisationLimit));
		expect(answers(play(first.state, 1000, prompt('later', 100)))).toEqual([]);
	});

	it('falls back to the domain\'s part when the others are not heard', () => {
		const state = serving(member('a1'), limited(['a', 'b', 'c']));
		expect(share(state, 'large', 0)).toBeCloseTo(1 / 3);
	});

	it('moves shares to where the demand is', () => {
		const busyPeer = withPeer(serving(member('a1'), limited(['a'])), {
			member: member('a2'), demands: [{organisation: 'large', requestsPerSecond: 3, tokensPerSecond: 298}],
		});
		expect(share(busyPeer, 'large', 0)).toBeCloseTo(1 / 300);
		const {state} = play(busyPeer, 0, prompt('r', 1485));
		expect(share(state, 'large', 0)).toBeCloseTo(0.5, 1);
	});
});

describe('spilling', () => {
	const two = models(0, 'cost', {
		failureDomains: [{id: 'a', region: 'r'}, {id: 'b', region: 'r'}],
		upstreams: [engine('e0'), engine('e1', 'b'), engine('e2', 'b')],
	});

	it('uses another failure domain when the own upstreams are gone, within bounds, and comes back', () => {
		const cut = play(serving(member('a1'), two), 0, {type: 'upstream-unreachable', upstream: 'e0'});
		const away = play(cut.state, 1, prompt('a', 1000), prompt('b', 1000));
		expect(effectsOf(away.effects, 'send').map(each => each.upstream)).toEqual([expect.stringMatching(/e[12]/v)]);
		expect(answers(away)).toMatchObject([{request: 'b', type: 'not-run', code: codes.noUpstream}]);
		expect(effectsOf(away.effects, 'count').filter(each => each.name === 'spilled')).toHaveLength(1);
		const back = play(away.state, 2, {
			type: 'report-received',
			report: {
				upstream: 'e0', incarnation: 'i', age: 0, ready: true, running: 0, waiting: 0, queuedPrefill: 0, usedMemory: 0, memory: 1,
			},
		}, prompt('c', 1000));
		expect(effectsOf(back.effects, 'send').map(each => each.upstream)).toEqual(['e0']);
	});

	it('sends away what its own domain could not finish in time', () => {
		const first = play(serving(member('a1'), two), 0, prompt('a', 60_000), prompt('b', 60_000, {deadline: 7500}));
		expect(effectsOf(first.effects, 'send').map(each => each.upstream)).toEqual(['e0', expect.stringMatching(/e[12]/v)]);
	});
});

describe('policies', () => {
	it('takes turns, or the fewest requests, whatever the lengths', () => {
		const crowd = Array.from({length: 4}, (_, index) => prompt(`r${index}`, index === 0 ? 60_000 : 100));
		for (const policy of ['round-robin', 'least-requests'] as const) {
			const {effects} = play(serving(member('a1'), models(2, policy)), 0, ...crowd);
			const used = effectsOf(effects, 'send').map(each => each.upstream);
			expect(used.filter(each => each === 'e0')).toHaveLength(2);
		}
	});

	it('comes back to the engine that holds the prefix', () => {
		const blocks = ['x', 'y', 'z'];
		const first = play(serving(member('a1'), models(6)), 0, prompt('a', 768, {blocks}), done('a.1'));
		const [home] = effectsOf(first.effects, 'send').map(each => each.upstream);
		const other = effectsOf(first.effects, 'log').length;
		expect(other).toBeGreaterThan(0);
		const again = play(first.state, 10, prompt('b', 1024, {blocks: [...blocks, 'w']}));
		expect(effectsOf(again.effects, 'send').map(each => each.upstream)).toEqual([home]);
		const cleared = play(again.state, 20, {
			type: 'cache-changed', upstream: home!, incarnation: 'i', gap: false, changes: [{sequence: 1, type: 'cleared', blocks: []}],
		});
		expect(cleared.state.prefixes.epochs.get(home!)).toBe(1);
	});
});
