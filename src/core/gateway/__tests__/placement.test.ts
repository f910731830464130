/** What callers of a small service get under loads that are played without a network. */
import {describe, expect, it} from 'vitest';
import {Health} from '../health.js';
import {Load, type Job} from '../load.js';
import {disturbed, weigh} from '../losses.js';
import {place, type Place, type Surroundings} from '../placement.js';
import {usualPolicy} from '../policy.js';
import {type Demand, type EngineModel, type GatewayUpstream} from '../types.js';

/** Figures of a site's engines. */
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

class Scene {
	readonly load = new Load();
	readonly health = new Health();
	#jobs = 0;

	place(wanted: Demand, among: readonly GatewayUpstream[], change: Partial<Surroundings> = {}): Place | undefined {
		return place(wanted, among, model, {
			policy: usualPolicy, load: this.load, health: this.health, host: 'h', failureDomain: 'a', unreachable: new Set(), eligibility: {tried: new Set()}, now, ...change,
		});
	}

	/** Something that is written at an engine. */
	write(upstream: string, tokens: number, pause: number): void {
		this.#add({
			upstream, prompt: tokens, pause, firstByte: now - 100,
		});
	}

	/** A prompt that an engine still reads. */
	read(upstream: string, read: number): void {
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
	it('joins others of its kind rather than an engine that reads a long one', () => {
		const scene = new Scene();
		scene.read('e0', 1800);
		scene.write('e1', 5000, 250);
		expect(scene.place(demand(5000), upstreams(2))?.upstream.id).toBe('e1');
	});

	it('leaves idle engines to long prompts while there is room beside short ones', () => {
		const scene = new Scene();
		for (let index = 0; index < 5; index++) {
			scene.write('e1', 5000, 250);
		}

		expect(scene.place(demand(5000), upstreams(4))?.upstream.id).toBe('e1');
	});

	it('opens another engine when the one of its kind is full', () => {
		const scene = new Scene();
		for (let index = 0; index < 11; index++) {
			scene.write('e1', 5000, 250);
		}

		expect(scene.place(demand(5000), upstreams(4))?.upstream.id).not.toBe('e1');
	});
});

describe('a long prompt', () => {
	it('keeps away from engines that write for callers who bear only short pauses', () => {
		const scene = new Scene();
		for (let index = 0; index < 3; index++) {
			scene.write('e0', 5000, 250);
			scene.write('e2', 5000, 250);
		}

		const chosen = scene.place(demand(133_000), upstreams(4));
		const used = [chosen!.upstream, ...chosen!.helpers].map(each => each.id);
		expect(used.filter(id => id === 'e0' || id === 'e2')).toEqual([]);
	});

	it('is read by several idle engines when one would be late', () => {
		const chosen = new Scene().place(demand(200_000), upstreams(8));
		expect(chosen!.helpers.length).toBeGreaterThan(0);
		expect(chosen!.firstByte).toBeLessThan(2500);
		expect(chosen!.holdTokens).toBe(0);
	});

	it('is held by several engines when none has the memory', () => {
		const chosen = new Scene().place(demand(500_000), upstreams(8));
		expect(chosen!.helpers.length).toBeGreaterThanOrEqual(2);
		expect(chosen!.holdTokens * (chosen!.helpers.length + 1)).toBeGreaterThan(501_000);
		expect(chosen!.holdTokens).toBeLessThan(232_000);
	});

	it('has no place where all engines together lack the memory', () => {
		expect(new Scene().place(demand(500_000), upstreams(2))).toBeUndefined();
	});

	it('does not count on memory that other requests have', () => {
		const scene = new Scene();
		scene.write('e0', 150_000, 1000);
		const chosen = scene.place(demand(120_000), upstreams(2));
		expect(chosen?.upstream.id).toBe('e1');
	});
});

describe('a stream', () => {
	it('is better off elsewhere when a long prompt comes to its engine, if its caller bears only short pauses', () => {
		const scene = new Scene();
		scene.write('e0', 5000, 250);
		scene.write('e0', 133_000, 4000);
		expect(disturbed(scene.load.forecast('e0', model, now))).toEqual([]);
		scene.read('e0', 900);
		const found = disturbed(scene.load.forecast('e0', model, now));
		expect(found.map(each => each.job.pause)).toEqual([250]);
		expect(found[0]!.loss).toBeGreaterThan(0.5);
	});

	it('stays for a short reading', () => {
		const scene = new Scene();
		scene.write('e0', 5000, 250);
		scene.read('e0', 60);
		expect(disturbed(scene.load.forecast('e0', model, now))).toEqual([]);
	});
});

describe('any prompt', () => {
	it('avoids an engine that fails, leaves, was tried or is out of reach', () => {
		const scene = new Scene();
		const all = upstreams(5);
		for (let index = 0; index < 6; index++) {
			scene.health.record('e0', 'faulty', now);
		}

		scene.health.record('e2', 'unreachable', now);
		const choices = all.map(each => ({...each, isDraining: each.id === 'e4'}));
		const chosen = scene.place(demand(5000), choices, {eligibility: {tried: new Set(['e1'])}});
		expect(chosen?.upstream.id).toBe('e3');
	});

	it('is sent to an engine that is left alone rather than nowhere', () => {
		const scene = new Scene();
		scene.health.record('e0', 'unreachable', now);
		expect(scene.place(demand(5000), upstreams(1))?.upstream.id).toBe('e0');
	});

	it('is not sent to an engine that is leaving, whatever else', () => {
		const [only] = upstreams(1);
		expect(new Scene().place(demand(5000), [{...only!, isDraining: true}])).toBeUndefined();
	});
});

it('weighs a document more than a question', () => {
	expect(weigh(model, {tokens: 133_000, answer: 0}) / weigh(model, {tokens: 5000, answer: 0})).toBeGreaterThan(5);
});
