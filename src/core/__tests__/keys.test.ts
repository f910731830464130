import {describe, expect, it} from 'vitest';
import {codes, type Event, type State} from '../index.js';
import {mintedAt} from '../features/keys/queries.js';
import {keyOf} from '../../../bench/fuzz/callers.js';
import {
	at, effectsOf, member, play, request, serving,
} from './hosts.js';

const peer = member('a2', 2);

function arrival(id: string, mintedNow: number): Event {
	return {type: 'request-arrived', request: request(id, {type: 'key', key: keyOf(at(mintedNow).wall, 1)}, {deadline: 60_000})};
}

/** A host that has met its only peer at the start. */
function joined(): State {
	const listed = play(serving(member('a1')), 0, {type: 'hosts-listed', members: [peer], leaving: []}, {type: 'tick'});
	const met: Event = {
		type: 'peer-message', from: 'a2', message: {
			type: 'key-joined', member: peer, members: [], ended: [],
		},
	};
	return play(play(listed.state, 10, met).state, 10_000, {type: 'tick'}).state;
}

describe('a bare key', () => {
	it('tells when it was made only as a UUID of version 7', () => {
		expect(mintedAt(keyOf(at(5).wall, 7))).toBe(at(5).wall);
		expect(mintedAt('0f8fad5b-d9cb-469f-a165-70867728950e')).toBeUndefined();
	});

	it('runs after the promise of every other host, and is sealed without it', () => {
		const asked = play(joined(), 20_000, arrival('r1', 20_000));
		expect(effectsOf(asked.effects, 'send')).toHaveLength(0);
		const answer: Event = {
			type: 'peer-message', from: 'a2', message: {
				type: 'key-answer', id: `k/paper/${keyOf(at(20_000).wall, 1)}`, claimant: member('a1').incarnation, answer: {type: 'unsure'},
			},
		};
		expect(effectsOf(play(asked.state, 20_010, answer).effects, 'send')).toHaveLength(1);
		const silent = play(asked.state, 21_000, {type: 'tick'});
		expect(effectsOf(silent.effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.sealed});
		expect(effectsOf(play(silent.state, 21_010, answer).effects, 'send')).toHaveLength(0);
	});

	it('is unknown to a host that was paused and has not introduced itself anew', () => {
		const woken = play(joined(), 20_000, {type: 'woken', pause: 9000}, arrival('r1', 20_000));
		expect(effectsOf(woken.effects, 'answer')[0]?.outcome).toMatchObject({type: 'unknown', code: codes.outcomeUnknown});
		const claiming = play(joined(), 20_000, arrival('r1', 20_000));
		const after = play(claiming.state, 40_000, {type: 'woken', pause: 19_000}, {type: 'tick'});
		expect(effectsOf(after.effects, 'answer')[0]?.outcome).toMatchObject({type: 'unknown', code: codes.outcomeUnknown});
	});

	it('is answered with a ticket if it tells no time, and not run if it comes from the future', () => {
		const undated: Event = {type: 'request-arrived', request: request('r1', {type: 'key', key: 'order-17'})};
		expect(effectsOf(play(joined(), 20_000, undated).effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.ticketRequired});
		expect(effectsOf(play(joined(), 20_000, arrival('r1', 30_000)).effects, 'answer')[0]?.outcome).toMatchObject({type: 'not-run', code: codes.badHeader});
	});
});
