import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	codes, type Effect, type Event, type Member, type State,
} from '../index.js';
import {parseMintTime} from '../features/keys/queries.js';
import {createKey} from '../../../bench/fuzz/callers.js';
import {
	applyEvents, contextAt, createMember, createRequest, createServingState, effectsOf,
} from './fixtures.js';

const peer = createMember('a2', 2);

function createArrival(id: string, minted: number): Event {
	return {type: 'request-arrived', request: createRequest(id, {type: 'key', key: createKey(contextAt(minted).wall, 1)}, {deadline: 60_000})};
}

/** Returns the state of a host that completed the handshake with its peers at the start. */
function createJoinedState(peers: readonly Member[] = [peer], self: Member = createMember('a1')): State {
	const listed = applyEvents(createServingState(self), 0, {type: 'hosts-listed', members: peers, leaving: []}, {type: 'tick'});
	const joined = peers.map((member): Event => ({
		type: 'peer-message', from: member.incarnation.host, message: {
			type: 'key-joined', member, members: [], ended: [],
		},
	}));
	return applyEvents(applyEvents(listed.state, 10, ...joined).state, 10_000, {type: 'tick'}).state;
}

/**
 * Presents one key to all hosts of a list at once.
 *
 * @param random - Returns which of a number of links delivers its next message.
 * @returns The effects of all hosts. Messages of one host to another one arrive in order.
 */
function presentToAll(names: readonly string[], random: (links: number) => number): readonly Effect[] {
	const members = names.map(name => createMember(name));
	const states = new Map(members.map(self => [self.incarnation.host, createJoinedState(members.filter(each => each !== self), self)]));
	const links = new Map<string, Event[]>();
	const all: Effect[] = [];
	const apply = (host: string, event: Event): void => {
		const {state, effects} = applyEvents(states.get(host)!, 20_000, event);
		states.set(host, state);
		all.push(...effects);
		for (const {to, message} of effectsOf(effects, 'peer-send')) {
			const link = `${host} ${to}`;
			links.set(link, [...links.get(link) ?? [], {type: 'peer-message', from: host, message}]);
		}
	};

	for (const name of names) {
		links.set(`caller ${name}`, [createArrival(`r-${name}`, 20_000)]);
	}

	while (links.size > 0) {
		const [link, [event, ...rest]] = [...links][random(links.size)]!;
		if (rest.length === 0) {
			links.delete(link);
		} else {
			links.set(link, rest);
		}

		apply(link.split(' ')[1]!, event!);
	}

	return all;
}

describe('an idempotency key without a ticket', () => {
	it('runs once when all hosts claim it at the same time, in whatever order they learn of each other', () => {
		fc.assert(fc.property(fc.infiniteStream(fc.nat()), order => {
			const effects = presentToAll(['a1', 'a2', 'b1', 'b2'], links => order.next().value % links);
			expect(effectsOf(effects, 'send')).toHaveLength(1);
			expect(effectsOf(effects, 'answer')).toEqual([]);
		}), {numRuns: 1000, seed: 1});
	});

	it('carries its creation time only as a UUID of version 7', () => {
		expect(parseMintTime(createKey(contextAt(5).wall, 7))).toBe(contextAt(5).wall);
		expect(parseMintTime('0f8fad5b-d9cb-469f-a165-70867728950e')).toBeUndefined();
	});

	it('runs after every other host has promised not to run it, and is sealed otherwise', () => {
		const asked = applyEvents(createJoinedState(), 20_000, createArrival('r1', 20_000));
		expect(effectsOf(asked.effects, 'send')).toHaveLength(0);
		const answer: Event = {
			type: 'peer-message', from: 'a2', message: {
				type: 'key-answer', id: `k/paper/${createKey(contextAt(20_000).wall, 1)}`, claimant: createMember('a1').incarnation, answer: {type: 'unsure'},
			},
		};
		expect(effectsOf(applyEvents(asked.state, 20_010, answer).effects, 'send')).toHaveLength(1);
		const timedOut = applyEvents(asked.state, 21_000, {type: 'tick'});
		expect(effectsOf(timedOut.effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.sealed});
		expect(effectsOf(applyEvents(timedOut.state, 21_010, answer).effects, 'send')).toHaveLength(0);
	});

	it('is answered in time to a request that waits for the claim of an earlier one with more time', () => {
		const asked = applyEvents(createJoinedState(), 20_000, createArrival('r1', 20_000));
		const key = createKey(contextAt(20_000).wall, 1);
		const hurried: Event = {type: 'request-arrived', request: createRequest('r2', {type: 'key', key}, {deadline: 20_300})};
		const waiting = applyEvents(asked.state, 20_100, hurried);
		expect(effectsOf(waiting.effects, 'answer')).toHaveLength(0);
		const overdue = applyEvents(waiting.state, 20_300, {type: 'tick'});
		expect(effectsOf(overdue.effects, 'answer')).toMatchObject([{request: 'r2', outcome: {type: 'unknown', code: codes.outcomeUnknown}}]);
		const settled = applyEvents(overdue.state, 21_000, {type: 'tick'});
		expect(effectsOf(settled.effects, 'answer').map(each => each.request)).toEqual(['r1']);
	});

	it('is sealed, not run, if the host that others name as its keeper has started again since', () => {
		const claimant = createMember('a1').incarnation;
		const id = `k/paper/${createKey(contextAt(20_000).wall, 1)}`;
		const formerKeeper = createMember('a3', 3);
		const named: Event = {
			type: 'peer-message', from: 'a2', message: {
				type: 'key-answer', id, claimant, answer: {type: 'kept', by: formerKeeper},
			},
		};
		const promisedBy = (started: number): Event => ({
			type: 'peer-message', from: 'a3', message: {
				type: 'key-answer', id, claimant, answerer: {host: 'a3', started}, answer: {type: 'unsure'},
			},
		});
		const asked = applyEvents(createJoinedState([peer, formerKeeper]), 20_000, createArrival('r1', 20_000));
		const claimed = applyEvents(asked.state, 20_010, named);
		expect(effectsOf(applyEvents(claimed.state, 20_020, promisedBy(3)).effects, 'send')).toHaveLength(1);
		const restarted = applyEvents(claimed.state, 20_020, promisedBy(4));
		expect(effectsOf(restarted.effects, 'send')).toHaveLength(0);
		expect(effectsOf(restarted.effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.sealed});
	});

	it('is unknown at a host that was paused and has not repeated its handshake', () => {
		const woken = applyEvents(createJoinedState(), 20_000, {type: 'woken', pause: 9000}, createArrival('r1', 20_000));
		expect(effectsOf(woken.effects, 'answer')[0]?.outcome).toMatchObject({type: 'unknown', code: codes.outcomeUnknown});
		const claiming = applyEvents(createJoinedState(), 20_000, createArrival('r1', 20_000));
		const after = applyEvents(claiming.state, 40_000, {type: 'woken', pause: 19_000}, {type: 'tick'});
		expect(effectsOf(after.effects, 'answer')[0]?.outcome).toMatchObject({type: 'unknown', code: codes.outcomeUnknown});
	});

	it('is answered with a ticket if it carries no time, and not run if its time is in the future', () => {
		const undated: Event = {type: 'request-arrived', request: createRequest('r1', {type: 'key', key: 'order-17'})};
		expect(effectsOf(applyEvents(createJoinedState(), 20_000, undated).effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.ticketRequired});
		expect(effectsOf(applyEvents(createJoinedState(), 20_000, createArrival('r1', 30_000)).effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.badHeader});
	});
});
