import {describe, expect, it} from 'vitest';
import {type Event, type Hold, type Incarnation} from '../index.js';
import {
	applyEvents, contextAt, createMember, createServingState, effectsOf,
} from './fixtures.js';

const self = createMember('a1');

function createHoldList(...holds: ReadonlyArray<{readonly id: string; readonly owner: Incarnation; readonly deadline: number}>): Event {
	return {
		type: 'holds-listed', upstream: 'u1', holds: holds.map((each): Hold => ({
			...each, upstream: 'u1', tokens: 1, deadline: contextAt(each.deadline).wall,
		})),
	};
}

describe('holds', () => {
	it('releases a hold after its deadline and grace period, and retries until the engine confirms', () => {
		const hold = {id: 'h1', owner: {host: 'a2', started: 1}, deadline: 1000};
		const early = applyEvents(createServingState(self), 5000, createHoldList(hold));
		expect(effectsOf(early.effects, 'release')).toHaveLength(0);
		const late = applyEvents(early.state, 7000, createHoldList(hold));
		expect(effectsOf(late.effects, 'release')).toMatchObject([{hold: 'h1', upstream: 'u1'}]);
		const again = applyEvents(late.state, 7500, {type: 'tick'});
		expect(effectsOf(again.effects, 'release')).toHaveLength(1);
		const done = applyEvents(again.state, 7600, {type: 'hold-released', hold: 'h1', upstream: 'u1'});
		expect(effectsOf(applyEvents(done.state, 20_000, {type: 'tick'}).effects, 'release')).toHaveLength(0);
	});

	it('releases a hold whose owner was replaced, and no other before its deadline', () => {
		const known = applyEvents(createServingState(self), 0, {type: 'hosts-listed', members: [createMember('a2', 7), createMember('a3', 3)], leaving: []});
		const {effects} = applyEvents(
			known.state,
			1,
			createHoldList(
				{id: 'replaced', owner: {host: 'a2', started: 1}, deadline: 9000},
				{id: 'live', owner: {host: 'a2', started: 7}, deadline: 9000},
				{id: 'silent', owner: {host: 'a3', started: 3}, deadline: 9000},
				{id: 'stranger', owner: {host: 'a9', started: 1}, deadline: 9000},
			),
		);
		expect(effectsOf(effects, 'release').map(each => each.hold)).toEqual(['replaced']);
	});

	it('stops retrying when the engine no longer lists the hold or has restarted', () => {
		const wanted = applyEvents(createServingState(self), 0, {type: 'release-wanted', hold: 'h1', upstream: 'u1'});
		expect(effectsOf(wanted.effects, 'release')).toHaveLength(1);
		for (const event of [createHoldList(), {
			type: 'upstream-restarted', upstream: 'u1', before: 'i1', incarnation: 'i2',
		} as const]) {
			const {state} = applyEvents(wanted.state, 1, event);
			expect(effectsOf(applyEvents(state, 9000, {type: 'tick'}).effects, 'release')).toHaveLength(0);
		}
	});
});
