/** Prompts at a fleet of which three in ten engines are four times slower for 8 s, in virtual time. */
import {describe, expect, it} from 'vitest';
import {type EngineModel} from '../../../src/core/gateway/types.js';
import {Simulation, type Result, type SlowEngines} from '../simulation.js';
import {
	generateArrivals, newsroomKinds, replicaModel, type RequestKind,
} from '../workload.js';

const model: EngineModel = {...replicaModel, slots: 8, memory: 382_500};
const kinds: readonly RequestKind[] = [
	{
		...newsroomKinds[0]!, rate: 47, objective: 309, pause: 200,
	},
	{
		...newsroomKinds[1]!, rate: 4.3, objective: 1514, pause: 500,
	},
];
const hosts = 76;
const arrivalPeriodMs = 16_000;
const slowEngines: SlowEngines = {
	count: 14, factor: 4, from: 4000, until: 12_000,
};

function simulate(arePacesLearned: boolean, seed: number, slow?: SlowEngines): readonly Result[] {
	const arrivals = generateArrivals({
		kinds, phases: [], length: arrivalPeriodMs, hosts,
	}, seed);
	return new Simulation({
		model, hosts, engines: 45, strategy: 'product', updateDelay: 25, slowEngines: slow, arePacesLearned,
	}).run(arrivals, arrivalPeriodMs + 12_000);
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
