/** Prompts that several engines share, at hosts that know of each other's choices late, in virtual time. */
import {expect, it} from 'vitest';
import {Simulation} from '../simulation.js';
import {deskKinds, deskModel, generateArrivals} from '../workload.js';

const hosts = 70;
const arrivalPeriodMs = 20_000;

/** Most prompts need several engines. */
const rateFactors = [0.1, 0.2, 8];

/** Shortest time in milliseconds after which a caller without an event leaves. */
const minPatienceMs = 2000;

// Guards against requests that lose their place for one that isn't reserved.
it.each([1, 2, 3])('no request ends before its caller leaves as it can\'t be rerouted (seed %i)', {timeout: 60_000}, seed => {
	const simulation = new Simulation({
		model: deskModel, hosts, engines: 20, strategy: 'product', updateDelay: 90,
	});
	const arrivals = generateArrivals({
		kinds: deskKinds.map((kind, index) => ({...kind, rate: kind.rate * rateFactors[index]!})), phases: [], length: arrivalPeriodMs, hosts,
	}, seed);
	const results = simulation.run(arrivals, arrivalPeriodMs + 20_000);
	expect(results.length).toBe(arrivals.length);
	expect(results.filter(({isDone, endedAt}) => !isDone && endedAt !== undefined && endedAt < minPatienceMs)).toEqual([]);
});
