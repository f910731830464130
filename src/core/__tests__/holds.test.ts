import {describe, expect, it} from 'vitest';
import {type Event, type Hold, type Incarnation} from '../index.js';
import {
	at, effectsOf, member, play, serving,
} from './hosts.js';

const self = member('a1');

function listed(...holds: ReadonlyArray<{readonly id: string; readonly owner: Incarnation; readonly deadline: number}>): Event {
	return {
		type: 'holds-listed', upstream: 'u1', holds: holds.map((each): Hold => ({
			...each, upstream: 'u1', tokens: 1, deadline: at(each.deadline).wall,
		})),
	};
}

describe('holds', () => {
	it('cancels a hold past its deadline and grace, and asks again until the engine confirms', () => {
		const hold = {id: 'h1', owner: {host: 'a2', started: 1}, deadline: 1000};
		const early = play(serving(self), 5000, listed(hold));
		expect(effectsOf(early.effects, 'release')).toHaveLength(0);
		const late = play(early.state, 7000, listed(hold));
		expect(effectsOf(late.effects, 'release')).toMatchObject([{hold: 'h1', upstream: 'u1'}]);
		const again = play(late.state, 7500, {type: 'tick'});
		expect(effectsOf(again.effects, 'release')).toHaveLength(1);
		const done = play(again.state, 7600, {type: 'hold-released', hold: 'h1', upstream: 'u1'});
		expect(effectsOf(play(done.state, 20_000, {type: 'tick'}).effects, 'release')).toHaveLength(0);
	});

	it('cancels a hold of an owner that was replaced, and no other before its deadline', () => {
		const known = play(serving(self), 0, {type: 'hosts-listed', members: [member('a2', 7), member('a3', 3)], leaving: []});
		const {effects} = play(
			known.state,
			1,
			listed(
				{id: 'replaced', owner: {host: 'a2', started: 1}, deadline: 9000},
				{id: 'live', owner: {host: 'a2', started: 7}, deadline: 9000},
				{id: 'silent', owner: {host: 'a3', started: 3}, deadline: 9000},
				{id: 'stranger', owner: {host: 'a9', started: 1}, deadline: 9000},
			),
		);
		expect(effectsOf(effects, 'release').map(each => each.hold)).toEqual(['replaced']);
	});

	it('asks no more when the engine lists the hold no longer or has restarted', () => {
		const wanted = play(serving(self), 0, {type: 'release-wanted', hold: 'h1', upstream: 'u1'});
		expect(effectsOf(wanted.effects, 'release')).toHaveLength(1);
		for (const event of [listed(), {
			type: 'upstream-restarted', upstream: 'u1', before: 'i1', incarnation: 'i2',
		} as const]) {
			const {state} = play(wanted.state, 1, event);
			expect(effectsOf(play(state, 9000, {type: 'tick'}).effects, 'release')).toHaveLength(0);
		}
	});
});
