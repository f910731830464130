/** Scenarios shared by tests and benchmarks. */
import {type Policy} from '../../src/core/index.js';
import {drawSilences, type SilenceScope} from '../gateway/silences.js';
import {Fleet, type FleetOptions, type RequestResult} from './fleet.js';
import {type ModelEngineOptions} from './engine.js';
import {generateArrivals, maxShortTokens, type Workload} from './workload.js';

export const engineOptions: ModelEngineOptions = {
	prefillRate: 10_000,
	decodeInterval: 25,
	batchSlowdown: 0.02,
	batch: 32,
	chunk: 1024,
	memory: 600_000,
	prefixes: 40,
};

/** Prompt tokens per second that one engine takes at full load with this mix of prompts. */
export const engineTokensPerSecond = 8000;

/** Mean prompt tokens that are not cached with this mix of prompts. */
export const meanUncachedTokens = 15_500;

const engines = 8;

export const organisations = [
	{id: 'large1', share: 0.35, weight: 1},
	{id: 'large2', share: 0.3, weight: 1},
	{id: 'large3', share: 0.2, weight: 1},
	...Array.from({length: 7}, (_, index) => ({id: `small${index}`, share: 0.15 / 7, weight: 1})),
];

export type Scenario = {
	readonly policy: Policy;
	readonly seed: number;
	/** Offered load, as a fraction of the engines' capacity. */
	readonly load: number;
	/** Milliseconds in which requests arrive. */
	readonly duration: number;
	/** Whether to run only the short prompts of the same arrivals. */
	readonly isShortAlone?: boolean;
	/** Milliseconds. */
	readonly deadline?: number;
	/** Engines that are silent for about a second, in series, each with a change of the configuration meanwhile. */
	readonly silent?: SilenceScope;
};

const defaultDeadlineMs = 120_000;

/** Times in milliseconds of the first silence, and from the beginning of a silence to the change of the configuration. */
const firstSilenceMs = 3000;
const changeLagMs = 300;

function drawFaults({seed, silent, duration}: Scenario): Pick<FleetOptions, 'configurationChanges' | 'silences'> {
	if (silent === undefined) {
		return {};
	}

	const silences = drawSilences({
		engines, scope: silent, from: firstSilenceMs, until: duration,
	}, seed);
	const beginnings = silences.filter(({from}, index) => index === 0 || from - silences[index - 1]!.from > changeLagMs);
	return {silences, configurationChanges: beginnings.map(({from}) => from + changeLagMs)};
}

/**
 * @param scenario - Scenario.
 * @returns Results of the requests, and the share of the engines' time spent on prefill.
 */
export function runScenario(scenario: Scenario): {readonly results: readonly RequestResult[]; readonly utilisation: number} {
	const deadline = scenario.deadline ?? defaultDeadlineMs;
	const options: FleetOptions = {
		hosts: 7,
		engines,
		policy: scenario.policy,
		engineOptions,
		organisations,
		deadline,
		weights: {slowdown: 1, firstToken: 1},
		...drawFaults(scenario),
	};
	const workload: Workload = {
		seed: scenario.seed,
		hosts: options.hosts,
		duration: scenario.duration,
		rate: scenario.load * engines * engineTokensPerSecond / meanUncachedTokens,
		organisations,
		shortShare: 0.7,
		longShare: 0.02,
		maxPromptTokens: 400_000,
	};
	const all = generateArrivals(workload);
	const selected = scenario.isShortAlone === true ? all.filter(each => each.promptTokens <= maxShortTokens) : all;
	const fleet = new Fleet(options, scenario.seed);
	const results = fleet.run(selected, scenario.duration + deadline);
	return {results, utilisation: fleet.utilisation};
}
