import {describe, expect, it} from 'vitest';
import {
	type Attempt, type Ending, type Event, type LoadReport, type Request, type State,
} from '../index.js';
import {
	isConvicted, isSuspect, canRunAt, listPublishedSuspicions, listSuspectUpstreams,
} from '../features/suspicion/queries.js';
import {
	applyEvents, contextAt, createConfiguration, createMember, createRequest, createServingState,
} from './fixtures.js';

const broken: Ending = {
	type: 'unknown', code: 3003, detail: '', relayed: false,
};
const done: Ending = {type: 'done', tokens: 1};
const killer = createRequest('k', {type: 'idempotent'}, {fingerprint: 'killer'});
const neighbour = createRequest('n', {type: 'idempotent'}, {fingerprint: 'neighbour'});

function createState(): State {
	return createServingState(createMember('a1'), createConfiguration(['u1', 'u2', 'u3', 'u4', 'u5']));
}

function createAttempt(request: Request, upstream: string, began: number): Attempt {
	return {
		id: `${request.id}.${upstream}.${began}`, request: request.id, upstream, began, upstreamIncarnation: 'i1', prefill: 1, decode: 1, prefillAhead: 0, length: 'short', written: true, received: 0,
	};
}

function createAttemptStart(request: Request, upstream: string, now = 0): Event {
	return {type: 'attempt-began', request, attempt: createAttempt(request, upstream, now)};
}

function createAttemptEnd(request: Request, upstream: string, ending: Ending, now = 0): Event {
	return {
		type: 'attempt-over', request, attempt: createAttempt(request, upstream, now), ending,
	};
}

function createReport(upstream: string, incarnation: string): Event {
	const received: LoadReport = {
		upstream, incarnation, age: 0, ready: true, running: 0, waiting: 0, queuedPrefill: 0, usedMemory: 0, memory: 1,
	};
	return {type: 'report-received', report: received};
}

describe('suspicion', () => {
	it('suspects all requests at a crashed upstream, and runs each only at its few assigned upstreams, apart from other requests', () => {
		const {state} = applyEvents(
			createState(),
			10,
			createAttemptStart(killer, 'u1'),
			createAttemptStart(neighbour, 'u1'),
			createAttemptEnd(killer, 'u1', broken),
			createAttemptEnd(neighbour, 'u1', broken),
		);
		expect(isSuspect(state, 'killer', contextAt(10))).toBe(true);
		expect(isSuspect(state, 'neighbour', contextAt(10))).toBe(true);
		const choices = listSuspectUpstreams(state, killer, contextAt(10)).map(each => each.id);
		expect(choices).toHaveLength(2);
		expect(choices).not.toContain('u1');
		const allowed = ['u1', 'u2', 'u3', 'u4', 'u5'].filter(each => canRunAt(state, killer, each, contextAt(10)));
		expect(allowed.toSorted()).toEqual(choices.toSorted());
		const {state: running} = applyEvents(state, 11, createAttemptStart(killer, choices[0]!, 11));
		expect(canRunAt(running, createRequest('o', {type: 'idempotent'}, {fingerprint: 'other'}), choices[0]!, contextAt(11))).toBe(false);
		expect(canRunAt(running, neighbour, choices[0]!, contextAt(11))).toBe(false);
	});

	it('convicts at the second crash, clears other requests there, and notifies peers', () => {
		const {state: once} = applyEvents(createState(), 10, createAttemptStart(killer, 'u1'), createAttemptEnd(killer, 'u1', broken));
		const {state} = applyEvents(
			once,
			20,
			createAttemptStart(killer, 'u2', 20),
			createAttemptStart(neighbour, 'u2', 19),
			createAttemptEnd(neighbour, 'u2', broken, 19),
			createAttemptEnd(killer, 'u2', broken, 20),
		);
		expect(isConvicted(state, 'killer', contextAt(20))).toBe(true);
		expect(isSuspect(state, 'neighbour', contextAt(20))).toBe(false);
		const suspicions = listPublishedSuspicions(state, contextAt(20));
		const {state: peer} = applyEvents(createState(), 20, {
			type: 'peer-message', from: 'a1', message: {
				type: 'heartbeat', sequence: 1, phase: 'serving', revision: 1, digest: '', whole: true, loads: [], demands: [], suspicions, members: [], relayed: [],
			},
		});
		expect(isConvicted(peer, 'killer', contextAt(20))).toBe(true);
		expect(isConvicted(peer, 'killer', contextAt(700_000))).toBe(false);
	});

	it('clears a suspect that completes', () => {
		const {state} = applyEvents(
			createState(),
			10,
			createAttemptStart(neighbour, 'u1'),
			createAttemptEnd(neighbour, 'u1', broken),
			createAttemptStart(neighbour, 'u2', 11),
			createAttemptEnd(neighbour, 'u2', done, 11),
		);
		expect(isSuspect(state, 'neighbour', contextAt(11))).toBe(false);
	});

	it('drops the suspicion when the upstream proves not to have crashed', () => {
		const first = applyEvents(createState(), 10, createAttemptStart(killer, 'u1'), createAttemptEnd(killer, 'u1', broken));
		expect(isSuspect(applyEvents(first.state, 20, createReport('u1', 'i1')).state, 'killer', contextAt(20))).toBe(false);
		const older = applyEvents(createState(), 10, createAttemptStart(neighbour, 'u1', 5), createAttemptStart(killer, 'u1'), createAttemptEnd(killer, 'u1', broken));
		expect(isSuspect(applyEvents(older.state, 20, createAttemptEnd(neighbour, 'u1', done, 5)).state, 'killer', contextAt(20))).toBe(false);
	});

	it('keeps a confirmed crash longer than an unconfirmed one', () => {
		const seen = applyEvents(createState(), 10, createReport('u1', 'i1'), createAttemptStart(killer, 'u1'), createAttemptEnd(killer, 'u1', broken));
		const confirmed = applyEvents(seen.state, 20, createReport('u1', 'i2'));
		expect(isSuspect(applyEvents(seen.state, 40_000, {type: 'tick'}).state, 'killer', contextAt(40_000))).toBe(false);
		expect(isSuspect(applyEvents(confirmed.state, 40_000, {type: 'tick'}).state, 'killer', contextAt(40_000))).toBe(true);
	});
});
