/** Prompts at a fleet of which three in ten engines are four times slower for 8 s, in virtual time. */
import {describe, expect, it} from 'vitest';
import {
	Simulation, type Result, type SimulationOptions, type SlowEngines,
} from '../simulation.js';
import {
	deskKinds, deskModel, generateArrivals, type Arrival, type RequestKind,
} from '../workload.js';

const kinds = deskKinds.slice(0, 2);
const hosts = 76;
const arrivalPeriodMs = 16_000;
const endMs = 28_000;
const slowEngines: SlowEngines = {
	count: 14, factor: 4, from: 4000, until: 12_000,
};

function simulate(arePacesLearned: boolean, seed: number, slow?: SlowEngines): readonly Result[] {
	return createSimulation({arePacesLearned, slowEngines: slow}).run(generate(seed, kinds), endMs);
}

function createSimulation(change: Partial<SimulationOptions>): Simulation {
	return new Simulation({
		model: deskModel, hosts, engines: 45, strategy: 'product', updateDelay: 25, ...change,
	});
}

function generate(seed: number, requested: readonly RequestKind[], count = hosts): readonly Arrival[] {
	return generateArrivals({
		kinds: requested, phases: [], length: arrivalPeriodMs, hosts: count,
	}, seed);
}

function countLateShorts(results: readonly Result[]): number {
	return results.filter(({arrival: {kind}, firstEvent, longestPause}) =>
		kind.name === 'short' && (firstEvent === undefined || firstEvent > kind.objective || longestPause > kind.pause)).length;
}

describe('short prompts', () => {
	// Guards against engines whose slowness no host learns, and against learning that takes as long as the slowness lasts.
	it.each([1, 2, 3])('are late less than half as often with learned paces while engines are slow (seed %i)', {timeout: 60_000}, seed => {
		const late = countLateShorts(simulate(true, seed, slowEngines));
		expect(late).toBeLessThan(countLateShorts(simulate(false, seed, slowEngines)) / 2);
	});

	// Guards against paces learned from errors of the forecast, which would change the decisions on a fleet of even engines.
	it.each([1, 2])('are served exactly the same at even engines (seed %i)', {timeout: 60_000}, seed => {
		expect(simulate(true, seed)).toEqual(simulate(false, seed));
	});
});

describe('paces', () => {
	// Guards against forecasts of prefills that are wrong beside others: with two hosts, each has more samples of an engine and knows less of the other's jobs.
	it.each([1, 2, 3, 4, 5, 6, 7, 8, 9, 10])('stay 1 at even engines, with prompts of all kinds (seed %i)', {timeout: 60_000}, seed => {
		const simulation = createSimulation({hosts: 2});
		simulation.run(generate(seed, deskKinds, 2), endMs);
		expect(simulation.unevenEngines).toEqual([]);
	});

	it('of slow engines are learned by some host within 2 s of their first event', {timeout: 60_000}, () => {
		const delays = [1, 2, 3].flatMap(seed => {
			const simulation = createSimulation({slowEngines});
			simulation.run(generate(seed, deskKinds), endMs);
			return simulation.unevenEngines.filter(({phase}) => phase === 'decode').map(({learnedAt, firstEventAt}) => learnedAt - firstEventAt!);
		});
		expect(delays.length).toBeGreaterThan(slowEngines.count);
		expect(Math.max(...delays)).toBeLessThanOrEqual(2000);
	});
});
