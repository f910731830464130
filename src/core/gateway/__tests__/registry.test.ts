/** The replica of the platform's registry only moves forward, whatever the source of a change. */
import {describe, expect, it} from 'vitest';
import {Registry} from '../registry/registry.js';
import {type GatewayUpstream} from '../types.js';
import {at, createUpstream as upstream} from './fixtures.js';

function written(id: string, revision: number, change: Partial<GatewayUpstream> = {}) {
	return {type: 'written', upstream: upstream(id, change), ...at(revision)} as const;
}

function ids(registry: Registry): readonly string[] {
	return registry.snapshot.upstreams.map(each => each.id);
}

describe('a registry', () => {
	it('applies each change of the history once, and returns whether it changed anything', () => {
		const registry = new Registry();
		expect(registry.apply(written('e1', 5))).toBe(true);
		registry.advance(at(6));
		expect(registry.apply(written('e1', 7))).toBe(false);
		expect(registry.apply(written('e1', 8, {isDraining: true}))).toBe(true);
		registry.advance(at(9));
		expect(registry.snapshot).toEqual({
			upstreams: [upstream('e1', {isDraining: true})], evacuated: [], ...at(9), changed: 8,
		});
		expect(registry.apply({type: 'removed', id: 'e1', ...at(10)})).toBe(true);
		expect(registry.apply({type: 'removed', id: 'e1', ...at(11)})).toBe(false);
		expect(ids(registry)).toEqual([]);
	});

	it('is not reverted by a replayed history', () => {
		const registry = new Registry();
		registry.reset({upstreams: [upstream('e1', {isDraining: true})], ...at(20), changed: 20});
		expect(registry.apply(written('e1', 12))).toBe(false);
		expect(registry.apply({type: 'removed', id: 'e1', ...at(20)})).toBe(false);
		expect(registry.snapshot.upstreams).toEqual([upstream('e1', {isDraining: true})]);
	});

	it('is not reverted by a snapshot of a peer that is not newer', () => {
		const registry = new Registry();
		registry.reset({upstreams: [upstream('e2')], ...at(20), changed: 20});
		expect(registry.merge({upstreams: [upstream('e1')], ...at(20), changed: 3})).toEqual({written: [], removed: []});
		expect(registry.merge({upstreams: [upstream('e1')], ...at(19), changed: 19})).toEqual({written: [], removed: []});
		expect(ids(registry)).toEqual(['e2']);
		expect(registry.position).toEqual(at(20));
	});

	it('returns what a newer snapshot changed', () => {
		const registry = new Registry();
		registry.reset({upstreams: [upstream('e1'), upstream('e2'), upstream('e3')], ...at(5), changed: 5});
		const newer = [upstream('e2'), upstream('e3', {started: 2}), upstream('e4')];
		expect(registry.merge({upstreams: newer, ...at(9), changed: 8})).toEqual({
			written: [upstream('e3', {started: 2}), upstream('e4')],
			removed: ['e1'],
		});
		expect(registry.snapshot).toMatchObject({...at(9), changed: 8});
	});

	it('considers a revision current only if it includes the last known change', () => {
		const registry = new Registry();
		registry.apply(written('e1', 5));
		registry.advance(at(9));
		expect([registry.isCurrent(at(4)), registry.isCurrent(at(5)), registry.isCurrent(at(12))]).toEqual([false, true, true]);
	});

	it('follows the store even if its revision has decreased', () => {
		const registry = new Registry();
		registry.reset({upstreams: [upstream('e1')], ...at(50), changed: 50});
		registry.reset({upstreams: [upstream('e2')], ...at(3), changed: 3});
		expect(registry.apply(written('e3', 4))).toBe(true);
		expect(ids(registry)).toEqual(['e2', 'e3']);
	});

	it('takes a registration of a cold upstream for a change, once for each write, and not the one that states the end', () => {
		const registry = new Registry();
		registry.apply(written('e1', 5, {sequence: 1}));
		expect([
			registry.apply(written('e1', 6, {sequence: 2, coldRemaining: 3000})),
			registry.apply(written('e1', 7, {sequence: 2, coldRemaining: 3000})),
			registry.apply(written('e1', 8, {sequence: 3, coldRemaining: 3000})),
			registry.apply(written('e1', 9, {sequence: 4})),
			registry.apply(written('e1', 10, {sequence: 5, isColdTimeUnknown: true})),
			registry.apply(written('e1', 11, {sequence: 6, isColdTimeUnknown: true})),
		]).toEqual([true, false, true, false, true, false]);
	});
});
