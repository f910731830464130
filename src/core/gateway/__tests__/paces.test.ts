/** What is learned about the speed of engines, and how it ends. */
import {describe, expect, it} from 'vitest';
import {Load, type Job} from '../engines/load.js';
import {
	configuredPace, isPace, Paces, type PaceReport, type PaceSample,
} from '../engines/paces.js';
import {PaceSampler} from '../engines/pace-sampler.js';
import {ShortPrefills, type ShortPrefill} from '../engines/short-prefills.js';
import {type Placement} from '../placement/placement.js';
import {type EngineModel} from '../types.js';
import {createUpstream} from './fixtures.js';

const now = 1_000_000;
const model: EngineModel = {
	slots: 8, memory: 382_500, stride: 43, step: 1, perRequest: 0, perThousand: 0, readRate: 200, pairs: 0, chunk: 2048, hop: 0, usualPrompt: 12_316, usualAnswer: 1303,
};

const jobTimes = {
	weight: 1, placing: 'first', began: now, due: now + 300, deadline: now + 9000,
} as const;

function record(paces: Paces, factors: readonly number[], upstream = 'e0', from = now): void {
	for (const [index, factor] of factors.entries()) {
		paces.recordSample({
			upstream, phase: 'decode', configured: 43, measured: 43 * factor, at: from + index,
		});
	}
}

function createJob(id: string, change: Partial<Job> = {}): Job {
	return {
		id, host: 'h', upstream: 'e0', helpers: [], prompt: 5000, answer: 100, isHeld: false, read: 25, readPerPass: 25, ...jobTimes, ...change,
	};
}

function createReport(change: Partial<PaceReport> = {}): PaceReport {
	return {
		host: 'h1', upstream: 'e0', phase: 'decode', pace: 0.25, confidence: 6, at: now, ...change,
	};
}

describe('a pace', () => {
	it('is the configured one, the same object, while nothing or nothing clear is known', () => {
		const paces = new Paces();
		expect(paces.get('e0', now)).toBe(configuredPace);
		record(paces, [1.3, 1.4, 0.8, 1.3]);
		expect(paces.get('e0', now)).toBe(configuredPace);
		expect(paces.takeReport('e0', 'decode', now)).toBeUndefined();
	});

	it('is learned from several samples, for prefills too as long as these told nothing', () => {
		const paces = new Paces();
		record(paces, [4, 4, 4]);
		expect(paces.get('e0', now + 10).decode).toBeCloseTo(0.25);
		expect(paces.get('e0', now + 10).prefill).toBeCloseTo(0.25);
		for (const at of [now, now + 1]) {
			paces.recordSample({
				upstream: 'e0', phase: 'prefill', configured: 400, measured: 400, at,
			});
		}

		expect(paces.get('e0', now + 10).decode).toBeCloseTo(0.25);
		expect(paces.get('e0', now + 10).prefill).toBe(1);
	});

	// Guards against prefills being taken for as fast as configured because of measurements whose weight is lost.
	it('is that of the decode phase for prefills again once the evidence on them is old', () => {
		const paces = new Paces();
		for (const at of [now - 7000, now - 6900]) {
			paces.recordSample({
				upstream: 'e0', phase: 'prefill', configured: 400, measured: 400, at,
			});
		}

		record(paces, [4, 4, 4]);
		expect(paces.get('e0', now + 10).prefill).toBeCloseTo(0.25);
	});

	// Guards against engines that were silent for a second being learned as slow, once for each stream that was waiting.
	it('does not follow a silence that many streams show, nor prefills that it has interrupted', () => {
		const paces = new Paces();
		paces.recordSample({
			upstream: 'e0', phase: 'prefill', configured: 400, measured: 1500, at: now,
		});
		for (let stream = 0; stream < 8; stream++) {
			paces.recordSample({
				upstream: 'e0', phase: 'decode', configured: 43, measured: 1150 - stream, at: now + stream,
			});
		}

		paces.recordSample({
			upstream: 'e0', phase: 'prefill', configured: 400, measured: 1500, at: now + 10,
		});
		expect(paces.get('e0', now + 10)).toBe(configuredPace);
		expect(paces.takeReport('e0', 'decode', now + 10)).toBeUndefined();
		expect(paces.takeReport('e0', 'prefill', now + 10)).toBeUndefined();
	});

	it('follows an engine that is so slow that each of its events comes after a second', () => {
		const paces = new Paces();
		for (const at of [now, now + 1150]) {
			paces.recordSample({
				upstream: 'e0', phase: 'decode', configured: 100, measured: 1150, at,
			});
		}

		expect(paces.get('e0', now + 1150).decode).toBeCloseTo(100 / 1150);
	});

	it('does not follow a single slow event', () => {
		const paces = new Paces();
		record(paces, [30]);
		expect(paces.get('e0', now)).toBe(configuredPace);
		record(paces, [1, 1, 30, 1]);
		expect(paces.get('e0', now)).toBe(configuredPace);
	});

	// Guards against evidence whose weight is lost counting toward the least weight.
	it.each([5500, 60_000])('does not follow a single slow event that comes %i ms after others', age => {
		const paces = new Paces();
		record(paces, [1, 1, 1, 1, 1, 1, 1, 1]);
		record(paces, [30], 'e0', now + age);
		expect(paces.get('e0', now + age)).toBe(configuredPace);
	});

	it('does not follow the long and short times between events after a stall of this host', () => {
		const paces = new Paces();
		record(paces, [3, 0.2]);
		expect(paces.get('e0', now)).toBe(configuredPace);
		record(paces, [1, 3, 0.2]);
		expect(paces.get('e0', now)).toBe(configuredPace);
	});

	it('decays to 1 within seconds without news', () => {
		const paces = new Paces();
		record(paces, [4, 4, 4]);
		const decayed = [0, 1900, 2700, 6000].map(age => paces.get('e0', now + age).decode);
		expect(decayed[1]).toBeCloseTo(0.25);
		expect(decayed[2]).toBeGreaterThan(0.3);
		expect(decayed[3]).toBe(1);
	});

	it('is forgotten with the process of the engine', () => {
		const paces = new Paces();
		record(paces, [4, 4, 4]);
		paces.forget('e0');
		expect(paces.get('e0', now)).toBe(configuredPace);
	});

	it('ignores samples that cannot be right', () => {
		const paces = new Paces();
		for (const measured of [0, -5, Number.NaN, Number.POSITIVE_INFINITY]) {
			record(paces, [measured, measured, measured]);
		}

		expect(paces.get('e0', now)).toBe(configuredPace);
		expect([0, -1, Number.NaN, Number.POSITIVE_INFINITY, 0.25].map(pace => isPace(pace))).toEqual([false, false, false, false, true]);
	});

	it('stays bounded, in value and in number', () => {
		const paces = new Paces();
		paces.recordReport(createReport({pace: 1e-9}));
		expect(paces.get('e0', now).decode).toBeGreaterThan(0.05);
		for (let index = 0; index < 5000; index++) {
			record(paces, [4, 4, 4], `x${index}`);
		}

		expect(paces.findUneven(now).size).toBeLessThan(2100);
	});
});

describe('reports', () => {
	it('are taken once a second, and teach a peer that has no sample', () => {
		const [paces, peer] = [new Paces(), new Paces()];
		record(paces, [4, 4, 4]);
		const report = paces.takeReport('e0', 'decode', now + 10)!;
		expect(paces.takeReport('e0', 'decode', now + 900)).toBeUndefined();
		expect(paces.takeReport('e0', 'decode', now + 1100)).toBeDefined();
		peer.recordReport({...report, host: 'h0'});
		expect(peer.get('e0', now + 20).decode).toBeCloseTo(0.25);
	});

	it('of peers are not passed on, so that a pace ends with the evidence for it', () => {
		const paces = new Paces();
		paces.recordReport(createReport());
		expect(paces.takeReport('e0', 'decode', now)).toBeUndefined();
	});

	it('that own samples contradict are answered', () => {
		const paces = new Paces();
		paces.recordReport(createReport());
		record(paces, [1, 1, 1]);
		expect(paces.takeReport('e0', 'decode', now + 10)?.pace).toBeCloseTo(1);
	});

	it('of one host count once, although they may arrive over two paths', () => {
		const paces = new Paces();
		record(paces, [1, 1, 1]);
		for (let index = 0; index < 5; index++) {
			paces.recordReport(createReport({confidence: 2}));
		}

		expect(paces.get('e0', now + 5)).toBe(configuredPace);
	});
});

describe('a sampler', () => {
	const shortPrefills = new ShortPrefills();
	const upstream = createUpstream('e0', {slots: 8});
	const placement: Placement = {
		upstream, helpers: [], holdTokens: 0, prefill: {total: 25, perIteration: 25}, firstByte: 25, loss: 0,
	};

	function createLoad(): Load {
		const load = new Load();
		load.begin(createJob('own'), now);
		return load;
	}

	function createSampler(load: Load, tokens = 5000): PaceSampler {
		return new PaceSampler({
			load, shortPrefills, model, prompt: {tokens, answer: 100}, placement: {...placement, firstByte: tokens / model.readRate}, job: 'own', sent: now,
		});
	}

	it('compares the time between events with an iteration', () => {
		const load = createLoad();
		const sampler = createSampler(load);
		expect(sampler.noteEvents(now + 100)).toBeUndefined();
		load.recordFirstByte('own', now + 100);
		expect(sampler.noteEvents(now + 272)).toMatchObject({phase: 'decode', configured: 43, measured: 172});
	});

	it('does not take the prefill of another prompt for slowness', () => {
		const load = createLoad();
		const sampler = createSampler(load);
		sampler.noteEvents(now + 100);
		load.recordFirstByte('own', now + 100);
		load.begin(createJob('other', {read: 400, readPerPass: 400}), now + 110);
		expect(sampler.noteEvents(now + 443)).toBeUndefined();
	});

	// Guards against paces from 0.2 to 2 that prefills on an even fleet gave beside prompts of which this host learned later.
	it.each<[string, Partial<Job>]>([
		['helps with', {
			upstream: 'e1', helpers: ['e0'], began: now + 100, firstByte: now + 900,
		}],
		['got before, as a load update shows later', {began: now - 10, firstByte: now - 5}],
	])('does not measure a prefill beside one that the engine %s', (_, change) => {
		const load = createLoad();
		const sampler = createSampler(load, 80_000);
		load.begin(createJob('other', change), now + 300);
		expect(sampler.noteEvents(now + 1000)).toBeUndefined();
		expect(createSampler(createLoad(), 80_000).noteEvents(now + 1000)).toMatchObject({phase: 'prefill', configured: 440});
	});

	it('does not take a queue that was shorter than forecast for a fast engine', () => {
		const options = {
			load: createLoad(), shortPrefills, model, prompt: {tokens: 80_000, answer: 100}, job: 'own', sent: now,
		};
		const sampler = new PaceSampler({...options, placement: {...placement, firstByte: 540}});
		expect(sampler.noteEvents(now + 443)).toMatchObject({phase: 'prefill', configured: 440, measured: 400});
	});

	it('does not take a caller that reads slowly for a slow engine', () => {
		const load = createLoad();
		const sampler = createSampler(load);
		sampler.noteEvents(now + 100);
		load.recordFirstByte('own', now + 100);
		sampler.noteDelay();
		expect(sampler.noteEvents(now + 900)).toBeUndefined();
		expect(sampler.noteEvents(now + 943)).toMatchObject({configured: 43, measured: 43});
	});
});

describe('prefills of short prompts', () => {
	function createPrefill(index: number, measured: number, variance = 0): ShortPrefill {
		return {
			upstream: 'e0', configured: 28, measured, variance, at: now + (index * 100),
		};
	}

	function add(prefills: readonly ShortPrefill[]): readonly PaceSample[] {
		const sums = new ShortPrefills();
		return prefills.flatMap(each => sums.add(each) ?? []);
	}

	it('count by their sum, once', () => {
		expect(add([0, 1, 2, 3, 4, 5, 6, 7].map(index => createPrefill(index, 112)))).toMatchObject([{configured: 112, measured: 448}, {configured: 112, measured: 448}]);
	});

	// Guards against paces from the time that a prompt waits for the end of an iteration, which is as long as its prefill.
	it('that waited for an iteration count once enough of them make the sum certain', () => {
		const variance = (44 ** 2) / 12;
		const measured = Array.from({length: 16}, (_, index) => index % 2 === 0 ? 6 : 50);
		expect(add(measured.slice(0, 13).map((each, index) => createPrefill(index, each, variance)))).toEqual([]);
		expect(add(measured.map((each, index) => createPrefill(index, each, variance)))).toMatchObject([{configured: 392, measured: 392}]);
	});

	it('do not count beside those of seconds ago', () => {
		expect(add([0, 20, 40, 60, 80].map(index => createPrefill(index, 112)))).toEqual([]);
	});

	// Guards against the time of an iteration counting as prefill: four times longer at a slow engine, or lengthened by a prefill that is unknown here.
	it.each([[1, 43], [4, 172], [1, 300]])('are measured with the engine %i times slower and %i ms between events', (slowness, gap) => {
		const shortPrefills = new ShortPrefills();
		const samples = [0, 1, 2, 3].flatMap(index => {
			const sent = now + (index * 500);
			const load = new Load();
			load.begin(createJob('own', {began: sent}), sent);
			const sampler = new PaceSampler({
				load, shortPrefills, model, prompt: {tokens: 5000, answer: 100}, placement: {
					upstream: createUpstream('e0'), helpers: [], holdTokens: 0, prefill: {total: 28, perIteration: 28}, firstByte: 28, loss: 0,
				}, job: 'own', sent,
			});
			const first = sent + ((28 + 43) * slowness);
			sampler.noteEvents(first);
			load.recordFirstByte('own', first);
			return sampler.noteEvents(first + gap) ?? [];
		});
		expect(samples.find(({phase}) => phase === 'prefill')).toMatchObject({configured: 112, measured: 112 + (4 * Math.max((28 * (slowness - 1)) - 12, 0))});
	});
});

it('predicts longer times at a slow engine, and leaves others as they are', () => {
	const paces = new Paces();
	record(paces, [4, 4, 4]);
	const load = new Load((upstream, at) => paces.get(upstream, at));
	for (const upstream of ['e0', 'e1']) {
		load.begin({
			id: upstream, host: 'h', upstream, helpers: [], prompt: 5000, answer: 100, isHeld: false, read: 25, readPerPass: 25, ...jobTimes,
		}, now + 10);
	}

	const slow = load.forecast('e0', model, now + 10);
	expect([Math.round(slow.backlog), Math.round(slow.slowdown)]).toEqual([100, 129]);
	expect(load.forecast('e1', model, now + 10)).toMatchObject({backlog: 25, slowdown: 0});
});
