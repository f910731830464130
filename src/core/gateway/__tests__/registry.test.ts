/** The replica of the platform's registry: it only moves forward, whoever tells it. */
import {describe, expect, it} from 'vitest';
import {Registry} from '../registry.js';
import {type GatewayUpstream} from '../types.js';

function upstream(id: string, change: Partial<GatewayUpstream> = {}): GatewayUpstream {
	return {
		id, service: 'model', address: {host: '127.0.0.1', port: 1}, failureDomain: 'a', slots: 1, isDraining: false, started: 1, ...change,
	};
}

function written(id: string, revision: number, change: Partial<GatewayUpstream> = {}) {
	return {type: 'written', upstream: upstream(id, change), revision} as const;
}

function ids(registry: Registry): readonly string[] {
	return registry.snapshot.upstreams.map(each => each.id);
}

describe('a registry', () => {
	it('takes each change of the history once, and tells whether it changed anything', () => {
		const registry = new Registry();
		expect(registry.apply(written('e1', 5))).toBe(true);
		registry.advance(6);
		expect(registry.apply(written('e1', 7))).toBe(false);
		expect(registry.apply(written('e1', 8, {isDraining: true}))).toBe(true);
		registry.advance(9);
		expect(registry.snapshot).toEqual({upstreams: [upstream('e1', {isDraining: true})], revision: 9, changed: 8});
		expect(registry.apply({type: 'removed', id: 'e1', revision: 10})).toBe(true);
		expect(registry.apply({type: 'removed', id: 'e1', revision: 11})).toBe(false);
		expect(ids(registry)).toEqual([]);
	});

	it('is not taken back by a history that is replayed', () => {
		const registry = new Registry();
		registry.reset({upstreams: [upstream('e1', {isDraining: true})], revision: 20, changed: 20});
		expect(registry.apply(written('e1', 12))).toBe(false);
		expect(registry.apply({type: 'removed', id: 'e1', revision: 20})).toBe(false);
		expect(registry.snapshot.upstreams).toEqual([upstream('e1', {isDraining: true})]);
	});

	it('is not taken back by a peer that knows less', () => {
		const registry = new Registry();
		registry.reset({upstreams: [upstream('e2')], revision: 20, changed: 20});
		expect(registry.merge({upstreams: [upstream('e1')], revision: 20, changed: 3})).toEqual({written: [], removed: []});
		expect(registry.merge({upstreams: [upstream('e1')], revision: 19, changed: 19})).toEqual({written: [], removed: []});
		expect(ids(registry)).toEqual(['e2']);
		expect(registry.revision).toBe(20);
	});

	it('tells what a newer snapshot changes', () => {
		const registry = new Registry();
		registry.reset({upstreams: [upstream('e1'), upstream('e2'), upstream('e3')], revision: 5, changed: 5});
		const newer = [upstream('e2'), upstream('e3', {started: 2}), upstream('e4')];
		expect(registry.merge({upstreams: newer, revision: 9, changed: 8})).toEqual({
			written: [upstream('e3', {started: 2}), upstream('e4')],
			removed: ['e1'],
		});
		expect(registry.snapshot).toMatchObject({revision: 9, changed: 8});
	});

	it('is as current as another one only if it knows of its last change', () => {
		const registry = new Registry();
		registry.apply(written('e1', 5));
		registry.advance(9);
		expect([registry.isCurrent(4), registry.isCurrent(5), registry.isCurrent(12)]).toEqual([false, true, true]);
	});

	it('follows the store also where its revision has fallen', () => {
		const registry = new Registry();
		registry.reset({upstreams: [upstream('e1')], revision: 50, changed: 50});
		registry.reset({upstreams: [upstream('e2')], revision: 3, changed: 3});
		expect(registry.apply(written('e3', 4))).toBe(true);
		expect(ids(registry)).toEqual(['e2', 'e3']);
	});
});
