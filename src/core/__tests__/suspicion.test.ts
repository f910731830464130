import {describe, expect, it} from 'vitest';
import {
	type Attempt, type Ending, type Event, type Report, type Request, type State,
} from '../index.js';
import {
	isConvicted, isSuspect, mayRunAt, publishedSuspicions, suspectUpstreams,
} from '../features/suspicion/queries.js';
import {
	at, configuration, member, play, request, serving,
} from './hosts.js';

const broken: Ending = {
	type: 'unknown', code: 3003, detail: '', relayed: false,
};
const done: Ending = {type: 'done', tokens: 1};
const killer = request('k', {type: 'idempotent'}, {fingerprint: 'killer'});
const neighbour = request('n', {type: 'idempotent'}, {fingerprint: 'neighbour'});

function host(): State {
	return serving(member('a1'), configuration(['u1', 'u2', 'u3', 'u4', 'u5']));
}

function attempt(of: Request, upstream: string, began: number): Attempt {
	return {
		id: `${of.id}.${upstream}.${began}`, request: of.id, upstream, began, upstreamIncarnation: 'i1', prefill: 1, decode: 1, ahead: 0, length: 'short', written: true, received: 0,
	};
}

function began(of: Request, upstream: string, now = 0): Event {
	return {type: 'attempt-began', request: of, attempt: attempt(of, upstream, now)};
}

function over(of: Request, upstream: string, ending: Ending, now = 0): Event {
	return {
		type: 'attempt-over', request: of, attempt: attempt(of, upstream, now), ending,
	};
}

function report(upstream: string, incarnation: string): Event {
	const received: Report = {
		upstream, incarnation, age: 0, ready: true, running: 0, waiting: 0, queuedPrefill: 0, usedMemory: 0, memory: 1,
	};
	return {type: 'report-received', report: received};
}

describe('suspicion', () => {
	it('suspects all who were there, and sends each only to its few upstreams, apart from other work', () => {
		const {state} = play(host(), 10, began(killer, 'u1'), began(neighbour, 'u1'), over(killer, 'u1', broken), over(neighbour, 'u1', broken));
		expect(isSuspect(state, 'killer', at(10))).toBe(true);
		expect(isSuspect(state, 'neighbour', at(10))).toBe(true);
		const choices = suspectUpstreams(state, killer, at(10)).map(each => each.id);
		expect(choices).toHaveLength(2);
		expect(choices).not.toContain('u1');
		const allowed = ['u1', 'u2', 'u3', 'u4', 'u5'].filter(each => mayRunAt(state, killer, each, at(10)));
		expect(allowed.toSorted()).toEqual(choices.toSorted());
		const {state: running} = play(state, 11, began(killer, choices[0]!, 11));
		expect(mayRunAt(running, request('o', {type: 'idempotent'}, {fingerprint: 'other'}), choices[0]!, at(11))).toBe(false);
		expect(mayRunAt(running, neighbour, choices[0]!, at(11))).toBe(false);
	});

	it('convicts at the second crash, clears whoever was near, and tells peers', () => {
		const {state: once} = play(host(), 10, began(killer, 'u1'), over(killer, 'u1', broken));
		const {state} = play(
			once,
			20,
			began(killer, 'u2', 20),
			began(neighbour, 'u2', 19),
			over(neighbour, 'u2', broken, 19),
			over(killer, 'u2', broken, 20),
		);
		expect(isConvicted(state, 'killer', at(20))).toBe(true);
		expect(isSuspect(state, 'neighbour', at(20))).toBe(false);
		const suspicions = publishedSuspicions(state, at(20));
		const {state: peer} = play(host(), 20, {
			type: 'peer-message', from: 'a1', message: {
				type: 'heartbeat', sequence: 1, phase: 'serving', revision: 1, digest: '', whole: true, loads: [], demands: [], suspicions, members: [], relayed: [],
			},
		});
		expect(isConvicted(peer, 'killer', at(20))).toBe(true);
		expect(isConvicted(peer, 'killer', at(700_000))).toBe(false);
	});

	it('clears a suspect that is answered in full', () => {
		const {state} = play(host(), 10, began(neighbour, 'u1'), over(neighbour, 'u1', broken), began(neighbour, 'u2', 11), over(neighbour, 'u2', done, 11));
		expect(isSuspect(state, 'neighbour', at(11))).toBe(false);
	});

	it('drops the blame when the upstream proves that it did not end', () => {
		const first = play(host(), 10, began(killer, 'u1'), over(killer, 'u1', broken));
		expect(isSuspect(play(first.state, 20, report('u1', 'i1')).state, 'killer', at(20))).toBe(false);
		const older = play(host(), 10, began(neighbour, 'u1', 5), began(killer, 'u1'), over(killer, 'u1', broken));
		expect(isSuspect(play(older.state, 20, over(neighbour, 'u1', done, 5)).state, 'killer', at(20))).toBe(false);
	});

	it('keeps a confirmed crash longer than one that was not', () => {
		const seen = play(host(), 10, report('u1', 'i1'), began(killer, 'u1'), over(killer, 'u1', broken));
		const confirmed = play(seen.state, 20, report('u1', 'i2'));
		expect(isSuspect(play(seen.state, 40_000, {type: 'tick'}).state, 'killer', at(40_000))).toBe(false);
		expect(isSuspect(play(confirmed.state, 40_000, {type: 'tick'}).state, 'killer', at(40_000))).toBe(true);
	});
});
