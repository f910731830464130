/** Requests of hosts that chose the same engine before they heard of each other. */
import {describe, expect, it} from 'vitest';
import {Health} from '../health.js';
import {Load, type Job} from '../load.js';
import {isToYield, isWorthMoving} from '../moves.js';
import {place, reconsider, type Surroundings} from '../placement.js';
import {usualPolicy} from '../policy.js';
import {type Demand, type EngineModel, type GatewayUpstream} from '../types.js';

const now = 1_000_000;

const model: EngineModel = {
	slots: 11, memory: 232_000, stride: 43, step: 1.02, perRequest: 0.003_29, perThousand: 0.004_31, readRate: 206, pairs: 0.138, chunk: 2048, hop: 0.075, usualPrompt: 12_316, usualAnswer: 1303,
};

function job(id: string, change: Partial<Job> = {}): Job {
	return {
		id, host: 'other', upstream: 'e0', helpers: [], prompt: 100_000, answer: 1300, isHeld: false, read: 1200, readPerPass: 1200, placing: 'first', weight: 9, began: now, due: now + 2500, deadline: now + 15_000, ...change,
	};
}

describe('of two requests that meet at an engine', () => {
	const own = job('b');

	it('the one that was there first stays, and both hosts see it alike', () => {
		const earlier = job('z', {began: now - 20});
		expect([isToYield(own, earlier, now + 30), isToYield(earlier, own, now + 30)]).toEqual([true, false]);
	});

	it('the smaller name stays where clocks cannot tell', () => {
		const close = job('a', {began: now + 3});
		expect([isToYield(own, close, now + 30), isToYield(close, own, now + 30)]).toEqual([true, false]);
	});

	it('none yields where they share no engine, nothing long is read, or an answer has begun', () => {
		const first = job('a', {began: now - 20});
		expect(isToYield(own, {...first, upstream: 'e1', helpers: ['e2']}, now)).toBe(false);
		expect(isToYield(own, {...first, upstream: 'e1', helpers: ['e0']}, now)).toBe(true);
		expect(isToYield({...own, readPerPass: 25}, {...first, readPerPass: 25}, now)).toBe(false);
		expect(isToYield({...own, firstByte: now}, first, now)).toBe(false);
	});

	it('none yields once news of all hosts must have come', () => {
		expect(isToYield(own, job('a', {began: now - 20}), now + 150)).toBe(false);
	});
});

describe('a request that met another one', () => {
	const upstreams: readonly GatewayUpstream[] = [0, 1, 2].map(index => ({
		id: `e${index}`, service: 's', address: {host: 'h', port: index + 1}, failureDomain: 'a', slots: 11, isDraining: false,
	}));
	const demand: Demand = {
		id: 'r', service: 's', kind: 'streaming', priority: 1, arrived: now, due: now + 1500, deadline: now + 15_000, pause: 600, prompt: {tokens: 60_000, answer: 900},
	};

	function surroundings(load: Load, tried: readonly string[]): Surroundings {
		return {
			policy: usualPolicy, load, health: new Health(), host: 'h', failureDomain: 'a', unreachable: new Set(), eligibility: {tried: new Set(tried)}, now,
		};
	}

	it('goes to an idle engine, and stays if there is none that is better', () => {
		const load = new Load();
		const first = place(demand, upstreams, model, surroundings(load, []))!;
		expect(first.helpers).toEqual([]);
		const {id} = first.upstream;
		load.begin(job('own', {
			upstream: id, prompt: 60_000, read: first.reading.total, readPerPass: first.reading.perPass,
		}), now);
		const around = {...surroundings(load, [id]), except: 'own'};
		const alone = reconsider(demand, first, upstreams, model, around)!;
		// Its own reading must not count against it.
		expect(alone.staying).toBeCloseTo(first.loss, 5);
		expect(isWorthMoving(alone.staying, alone.best!.loss)).toBe(false);

		load.begin(job('met', {upstream: id, read: 4000, readPerPass: 4000}), now);
		const met = reconsider(demand, first, upstreams, model, around)!;
		expect(met.best!.upstream.id).not.toBe(id);
		expect(isWorthMoving(met.staying, met.best!.loss)).toBe(true);

		for (const each of upstreams.filter(upstream => upstream.id !== id)) {
			load.begin(job(`met-${each.id}`, {upstream: each.id, read: 4000, readPerPass: 4000}), now);
		}

		const crowded = reconsider(demand, first, upstreams, model, around)!;
		expect(isWorthMoving(crowded.staying, crowded.best!.loss)).toBe(false);
	});

	it('is not moved at plain services', () => {
		const first = place({...demand, prompt: undefined}, upstreams, undefined, surroundings(new Load(), []))!;
		expect(reconsider({...demand, prompt: undefined}, first, upstreams, undefined, surroundings(new Load(), []))).toBe(undefined);
	});
});
