/** Served share of workloads in virtual time under the product's decisions. */
import {describe, expect, it} from 'vitest';
import {policyWithout, defaultPolicy, type Policy} from '../../../src/core/gateway/placement/policy.js';
import {computeServedShare} from '../results.js';
import {Simulation, type PlacementStrategy} from '../simulation.js';
import {
	generateArrivals, newsroomKinds, replicaModel, burstPhases,
} from '../workload.js';

type Fleet = {
	readonly hosts: number;
	readonly engines: number;
	readonly load: number;
	readonly updateDelay: number;
};

type Variant = {
	readonly seed?: number;
	readonly policy?: Policy;
};

const arrivalPeriodMs = 32_000;

function simulate({hosts, engines, load, updateDelay}: Fleet, strategy: PlacementStrategy, {seed = 1, policy = defaultPolicy}: Variant = {}): number {
	const workload = {
		kinds: newsroomKinds.map(kind => ({...kind, rate: kind.rate * load})), phases: burstPhases, length: arrivalPeriodMs, hosts,
	};
	const options = {
		model: replicaModel, hosts, engines, strategy, updateDelay, policy,
	};
	return computeServedShare(new Simulation(options).run(generateArrivals(workload, seed), arrivalPeriodMs + 16_000));
}

describe('alternating bursts of short and long prompts', () => {
	it('are served by six hosts nearly as well as with immediate load updates', {timeout: 60_000}, () => {
		const fleet = {
			hosts: 6, engines: 23, load: 1, updateDelay: 6,
		};
		expect(simulate(fleet, 'product')).toBeGreaterThan(simulate(fleet, 'omniscient') - 0.01);
	});

	// Guards against hosts that all choose the same engine: only 0.947 is served if all prefer the same one, 0.977 without rerouting.
	it('are served by 70 hosts whose load updates take 25 ms', {timeout: 60_000}, () => {
		expect(simulate({
			hosts: 70, engines: 78, load: 3.4, updateDelay: 25,
		}, 'product')).toBeGreaterThan(0.985);
	});

	// Guards against serving long prompts at once at any cost, however many streams they slow down.
	it.each([10, 11, 13])('are served better by %i engines if long prompts that would slow down too many streams are refused and retried', {timeout: 60_000}, engines => {
		const fleet = {
			hosts: 7, engines, load: 1, updateDelay: 6,
		};
		const seeds = Array.from({length: 12}, (_, index) => index + 1);
		const mean = (policy: Policy) => seeds.reduce((sum, seed) => sum + simulate(fleet, 'product', {seed, policy}), 0) / seeds.length;
		expect(mean(defaultPolicy)).toBeGreaterThan(mean(policyWithout(defaultPolicy, ['refusal'])) + 0.02);
	});
});
