/** Placement of requests at a small service, under simulated load and without a network. */
import {describe, expect, it} from 'vitest';
import {Health} from '../health/health.js';
import {Load, type Job} from '../engines/load.js';
import {findDisruptedStreams, computeWeight} from '../engines/losses.js';
import {place, type Placement, type PlacementOptions} from '../placement/placement.js';
import {defaultPolicy} from '../placement/policy.js';
import {type Preference} from '../placement/preference.js';
import {type Demand, type EngineModel, type GatewayUpstream} from '../types.js';
import {findDeparture} from './fixtures.js';

/** Performance model of the engines of a real site. */
const model: EngineModel = {
	slots: 11, memory: 232_000, stride: 43, step: 1.02, perRequest: 0.003_29, perThousand: 0.004_31, readRate: 206, pairs: 0.138, chunk: 2048, hop: 0.075, usualPrompt: 12_316, usualAnswer: 1303,
};

const now = 1_000_000;

function upstreams(count: number): readonly GatewayUpstream[] {
	return Array.from({length: count}, (_, index) => ({
		id: `e${index}`, service: 's', address: {host: '10.0.0.1', port: index + 1}, failureDomain: index % 2 === 0 ? 'a' : 'b', slots: 11, isDraining: false,
	}));
}

function demand(tokens: number, change: Partial<Demand> = {}): Demand {
	const isShort = tokens < 16_000;
	return {
		id: 'r', service: 's', kind: 'streaming', priority: 1, arrived: now, due: now + (isShort ? 300 : 2500), deadline: now + 15_000, pause: isShort ? 250 : 1000, prompt: {tokens, answer: 1300}, ...change,
	};
}

/** A service with simulated jobs. */
class Fixture {
	readonly load = new Load();
	readonly health = new Health();
	#jobs = 0;

	place(request: Demand, candidates: readonly GatewayUpstream[], change: Partial<PlacementOptions> = {}): Placement | undefined {
		return place(request, candidates, model, {
			policy: defaultPolicy, load: this.load, health: this.health, host: 'h', failureDomain: 'a', unreachable: new Set(), findObstacle: findDeparture, eligibility: {excluded: new Set()}, now, ...change,
		});
	}

	/** Adds a job that an engine decodes. */
	addDecoding(upstream: string, tokens: number, pause: number): void {
		this.#add({
			upstream, prompt: tokens, pause, firstByte: now - 100,
		});
	}

	/** Adds a job that an engine prefills. */
	addPrefill(upstream: string, read: number): void {
		this.#add({upstream, read, readPerPass: read});
	}

	#add(change: Partial<Job>): void {
		this.#jobs++;
		this.load.begin({
			id: `j${this.#jobs}`, host: 'other', upstream: 'e0', helpers: [], prompt: 5000, answer: 1300, isHeld: false, read: 25, readPerPass: 25, placing: 'first', weight: 1, began: now - 200, due: now + 100, deadline: now + 9000, ...change,
		}, now);
	}
}

describe('a short prompt', () => {
	it('joins other short prompts rather than an engine that prefills a long one', () => {
		const fixture = new Fixture();
		fixture.addPrefill('e0', 1800);
		fixture.addDecoding('e1', 5000, 250);
		expect(fixture.place(demand(5000), upstreams(2))?.upstream.id).toBe('e1');
	});

	it('leaves idle engines to long prompts while an engine with short ones has free slots', () => {
		const fixture = new Fixture();
		for (let index = 0; index < 5; index++) {
			fixture.addDecoding('e1', 5000, 250);
		}

		expect(fixture.place(demand(5000), upstreams(4))?.upstream.id).toBe('e1');
	});

	it('goes to another engine when the one with short prompts is full', () => {
		const fixture = new Fixture();
		for (let index = 0; index < 11; index++) {
			fixture.addDecoding('e1', 5000, 250);
		}

		expect(fixture.place(demand(5000), upstreams(4))?.upstream.id).not.toBe('e1');
	});
});

describe('a long prompt', () => {
	it('avoids engines that decode streams with short pauses', () => {
		const fixture = new Fixture();
		for (let index = 0; index < 3; index++) {
			fixture.addDecoding('e0', 5000, 250);
			fixture.addDecoding('e2', 5000, 250);
		}

		const chosen = fixture.place(demand(133_000), upstreams(4));
		const used = [chosen!.upstream, ...chosen!.helpers].map(each => each.id);
		expect(used.filter(id => id === 'e0' || id === 'e2')).toEqual([]);
	});

	it('is prefilled by several idle engines when one would be late', () => {
		const chosen = new Fixture().place(demand(200_000), upstreams(8));
		expect(chosen!.helpers.length).toBeGreaterThan(0);
		expect(chosen!.firstByte).toBeLessThan(2500);
		expect(chosen!.holdTokens).toBe(0);
	});

	it('is split between several engines when none has enough memory', () => {
		const chosen = new Fixture().place(demand(500_000), upstreams(8));
		expect(chosen!.helpers.length).toBeGreaterThanOrEqual(2);
		expect(chosen!.holdTokens * (chosen!.helpers.length + 1)).toBeGreaterThan(501_000);
		expect(chosen!.holdTokens).toBeLessThan(232_000);
	});

	it('is not placed when all engines together lack the memory', () => {
		expect(new Fixture().place(demand(500_000), upstreams(2))).toBeUndefined();
	});

	it('does not count on memory that other requests use', () => {
		const fixture = new Fixture();
		fixture.addDecoding('e0', 150_000, 1000);
		const chosen = fixture.place(demand(120_000), upstreams(2));
		expect(chosen?.upstream.id).toBe('e1');
	});
});

describe('a stream', () => {
	it('should be rerouted when a long prompt arrives at its engine, if it allows only short pauses', () => {
		const fixture = new Fixture();
		fixture.addDecoding('e0', 5000, 250);
		fixture.addDecoding('e0', 133_000, 4000);
		expect(findDisruptedStreams(fixture.load.forecast('e0', model, now))).toEqual([]);
		fixture.addPrefill('e0', 900);
		const found = findDisruptedStreams(fixture.load.forecast('e0', model, now));
		expect(found.map(each => each.job.pause)).toEqual([250]);
		expect(found[0]!.loss).toBeGreaterThan(0.5);
	});

	it('stays for a short prefill', () => {
		const fixture = new Fixture();
		fixture.addDecoding('e0', 5000, 250);
		fixture.addPrefill('e0', 60);
		expect(findDisruptedStreams(fixture.load.forecast('e0', model, now))).toEqual([]);
	});
});

describe('any prompt', () => {
	it('avoids an engine that fails, drains, was tried or is unreachable', () => {
		const fixture = new Fixture();
		const all = upstreams(5);
		for (let index = 0; index < 6; index++) {
			fixture.health.record('e0', 'faulty', now);
		}

		fixture.health.record('e2', 'unreachable', now);
		const choices = all.map(each => ({...each, isDraining: each.id === 'e4'}));
		const chosen = fixture.place(demand(5000), choices, {eligibility: {excluded: new Set(['e1'])}});
		expect(chosen?.upstream.id).toBe('e3');
	});

	it('is sent to an engine that is backed off if there is no other', () => {
		const fixture = new Fixture();
		fixture.health.record('e0', 'unreachable', now);
		expect(fixture.place(demand(5000), upstreams(1))?.upstream.id).toBe('e0');
	});

	it('is never sent to an engine that drains', () => {
		const [only] = upstreams(1);
		expect(new Fixture().place(demand(5000), [{...only!, isDraining: true}])).toBeUndefined();
	});
});

it('weighs a document more than a question', () => {
	expect(computeWeight(model, {tokens: 133_000, answer: 0}) / computeWeight(model, {tokens: 5000, answer: 0})).toBeGreaterThan(5);
});

describe('a preference', () => {
	const preference: Preference = {reason: 'group', prefers: upstream => upstream !== 'e0'};

	it('keeps a prompt away from other engines, also from idle ones', () => {
		const fixture = new Fixture();
		fixture.addPrefill('e1', 300);
		expect(fixture.place(demand(45_000), upstreams(2), {preference})).toMatchObject({upstream: {id: 'e1'}, helpers: [], preference: {reason: 'group', isMet: true}});
	});

	// Guards against a prompt that is late at a preferred engine, or makes others late there, while another engine is idle.
	it.each(['late', 'disruptive'] as const)('does not hold where the prompt would be %s', effect => {
		const fixture = new Fixture();
		if (effect === 'late') {
			fixture.addPrefill('e1', 4000);
		} else {
			for (let index = 0; index < 6; index++) {
				fixture.addDecoding('e1', 5000, 250);
			}
		}

		expect(fixture.place(demand(45_000), upstreams(2), {preference})).toMatchObject({upstream: {id: 'e0'}, preference: {isMet: false}});
	});

	it('changes nothing if no engine that accepts the prompt is preferred, or all are', () => {
		const fixture = new Fixture();
		const expected = fixture.place(demand(5000), upstreams(3));
		for (const isPreferred of [false, true]) {
			expect(fixture.place(demand(5000), upstreams(3), {preference: {reason: 'group', prefers: () => isPreferred}})).toEqual(expected);
		}
	});
});

describe('a request to a plain service', () => {
	const all = upstreams(4).filter(each => each.failureDomain === 'a');

	/** Places requests that are answered at once, and returns the share of one upstream among them. */
	function measureShare(fixture: Fixture, from: number, options: {readonly to: number; readonly intervalMs: number; readonly excluded?: readonly string[]}): number {
		const {to, intervalMs, excluded = []} = options;
		let [total, count] = [0, 0];
		for (let at = from; at < to; at += intervalMs) {
			const request: Demand = {...demand(1000, {id: `r${at}`}), prompt: undefined};
			const {upstream} = place(request, all, undefined, {
				policy: defaultPolicy, load: fixture.load, health: fixture.health, host: 'h', failureDomain: 'a', unreachable: new Set(), findObstacle: findDeparture,
				eligibility: {excluded: new Set(excluded)}, now: at,
			})!;
			fixture.health.record(upstream.id, 'sound', at);
			total++;
			count += upstream.id === 'e0' ? 1 : 0;
		}

		return count / total;
	}

	it.each([20, 50, 200, 1000])('is not kept at an upstream just as it has answered lately (one request in %i ms)', intervalMs => {
		const fixture = new Fixture();
		const end = now + 10_000;
		measureShare(fixture, now, {to: end, intervalMs, excluded: ['e0']});
		const share = measureShare(fixture, end, {to: end + (intervalMs * 200), intervalMs});
		expect(share).toBeGreaterThan(0.4);
		expect(share).toBeLessThan(0.6);
	});

	it('goes to an upstream that failed as before, some seconds after its last failure', () => {
		const fixture = new Fixture();
		for (let index = 0; index < 4; index++) {
			fixture.health.record('e0', 'broken', now);
		}

		expect(measureShare(fixture, now, {to: now + 2000, intervalMs: 50})).toBe(0);
		expect(measureShare(fixture, now + 2000, {to: now + 25_000, intervalMs: 50, excluded: ['e0']})).toBe(0);
		expect(measureShare(fixture, now + 25_000, {to: now + 35_000, intervalMs: 50})).toBeGreaterThan(0.4);
	});
});
