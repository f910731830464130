/** Requests of hosts that chose the same engine before they received load updates of each other. */
import {describe, expect, it} from 'vitest';
import {Health} from '../health/health.js';
import {Load, type Job} from '../engines/load.js';
import {hasToYield, isWorthRerouting} from '../placement/rerouting.js';
import {place, reevaluate, type PlacementOptions} from '../placement/placement.js';
import {defaultPolicy} from '../placement/policy.js';
import {type Demand, type EngineModel, type GatewayUpstream} from '../types.js';
import {findDeparture} from './fixtures.js';

const now = 1_000_000;

const model: EngineModel = {
	slots: 11, memory: 232_000, stride: 43, step: 1.02, perRequest: 0.003_29, perThousand: 0.004_31, readRate: 206, pairs: 0.138, chunk: 2048, hop: 0.075, usualPrompt: 12_316, usualAnswer: 1303,
};

function job(id: string, change: Partial<Job> = {}): Job {
	return {
		id, host: 'other', upstream: 'e0', helpers: [], prompt: 100_000, answer: 1300, isHeld: false, read: 1200, readPerPass: 1200, placing: 'first', weight: 9, began: now, due: now + 2500, deadline: now + 15_000, ...change,
	};
}

describe('of two requests at the same engine', () => {
	const own = job('b');

	it('the earlier one stays, and both hosts decide alike', () => {
		const earlier = job('z', {began: now - 20});
		expect([hasToYield(own, earlier, now + 30), hasToYield(earlier, own, now + 30)]).toEqual([true, false]);
	});

	it('the one with the smaller id stays if the start times are too close to order', () => {
		const close = job('a', {began: now + 3});
		expect([hasToYield(own, close, now + 30), hasToYield(close, own, now + 30)]).toEqual([true, false]);
	});

	it('none yields if they share no engine, no prefill is long, or an answer has begun', () => {
		const first = job('a', {began: now - 20});
		expect(hasToYield(own, {...first, upstream: 'e1', helpers: ['e2']}, now)).toBe(false);
		expect(hasToYield(own, {...first, upstream: 'e1', helpers: ['e0']}, now)).toBe(true);
		expect(hasToYield({...own, readPerPass: 25}, {...first, readPerPass: 25}, now)).toBe(false);
		expect(hasToYield({...own, firstByte: now}, first, now)).toBe(false);
	});

	it('none yields after the load updates of all hosts must have arrived', () => {
		expect(hasToYield(own, job('a', {began: now - 20}), now + 150)).toBe(false);
	});
});

describe('a request at the same engine as another one', () => {
	const upstreams: readonly GatewayUpstream[] = [0, 1, 2].map(index => ({
		id: `e${index}`, service: 's', address: {host: 'h', port: index + 1}, failureDomain: 'a', slots: 11, isDraining: false,
	}));
	const demand: Demand = {
		id: 'r', service: 's', kind: 'streaming', priority: 1, arrived: now, due: now + 1500, deadline: now + 15_000, pause: 600, prompt: {tokens: 60_000, answer: 900},
	};

	function createOptions(load: Load, tried: readonly string[]): PlacementOptions {
		return {
			policy: defaultPolicy, load, health: new Health(), host: 'h', failureDomain: 'a', unreachable: new Set(), findObstacle: findDeparture, eligibility: {excluded: new Set(tried)}, now,
		};
	}

	it('is rerouted to an idle engine, and stays if there is no better one', () => {
		const load = new Load();
		const first = place(demand, upstreams, model, createOptions(load, []))!;
		expect(first.helpers).toEqual([]);
		const {id} = first.upstream;
		load.begin(job('own', {
			upstream: id, prompt: 60_000, read: first.prefill.total, readPerPass: first.prefill.perIteration,
		}), now);
		const options = {...createOptions(load, [id]), excludedJob: 'own'};
		const withoutOther = reevaluate(demand, first, upstreams, model, options)!;
		// Its own prefill must not count against it.
		expect(withoutOther.staying).toBeCloseTo(first.loss, 5);
		expect(isWorthRerouting(withoutOther.staying, withoutOther.best!.loss)).toBe(false);

		load.begin(job('other', {upstream: id, read: 4000, readPerPass: 4000}), now);
		const withOther = reevaluate(demand, first, upstreams, model, options)!;
		expect(withOther.best!.upstream.id).not.toBe(id);
		expect(isWorthRerouting(withOther.staying, withOther.best!.loss)).toBe(true);

		for (const each of upstreams.filter(upstream => upstream.id !== id)) {
			load.begin(job(`other-${each.id}`, {upstream: each.id, read: 4000, readPerPass: 4000}), now);
		}

		const crowded = reevaluate(demand, first, upstreams, model, options)!;
		expect(isWorthRerouting(crowded.staying, crowded.best!.loss)).toBe(false);
	});

	it('is not rerouted at plain services', () => {
		const first = place({...demand, prompt: undefined}, upstreams, undefined, createOptions(new Load(), []))!;
		expect(reevaluate({...demand, prompt: undefined}, first, upstreams, undefined, createOptions(new Load(), []))).toBe(undefined);
	});
});
