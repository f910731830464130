/** The scenarios that tests and the bench share. */
import {type Policy} from '../../src/core/index.js';
import {Fleet, type Layout, type Result} from './fleet.js';
import {type EngineSpeed} from './engine.js';
import {arrivals, shortTokens, type Workload} from './workload.js';

export const speed: EngineSpeed = {
	prefillRate: 10_000,
	decodeInterval: 25,
	batchSlowdown: 0.02,
	batch: 32,
	chunk: 1024,
	memory: 600_000,
	prefixes: 40,
};

/** Prompt tokens a second that one engine takes with the usual mix, measured with every engine full. */
export const engineCapacity = 8000;

/** Mean prompt tokens that are not cached, measured with the usual mix. */
export const meanPrompt = 15_500;

const engines = 8;

export const organisations = [
	{id: 'large1', part: 0.35, weight: 1},
	{id: 'large2', part: 0.3, weight: 1},
	{id: 'large3', part: 0.2, weight: 1},
	...Array.from({length: 7}, (_, index) => ({id: `small${index}`, part: 0.15 / 7, weight: 1})),
];

export type Scenario = {
	readonly policy: Policy;
	readonly seed: number;
	/** Part of the engines' capacity that is asked for. */
	readonly load: number;
	/** Milliseconds in which requests arrive. */
	readonly duration: number;
	/** Whether only the short prompts of the same arrivals come. */
	readonly isShortAlone?: boolean;
	/** Milliseconds. */
	readonly deadline?: number;
};

const usualDeadline = 120_000;

/**
 * @param scenario - What to run.
 * @returns What became of the requests, and how busy the engines were.
 */
export function run(scenario: Scenario): {readonly results: readonly Result[]; readonly utilisation: number} {
	const deadline = scenario.deadline ?? usualDeadline;
	const layout: Layout = {
		hosts: 7,
		engines,
		policy: scenario.policy,
		speed,
		organisations,
		deadline,
		weights: {slowdown: 1, firstToken: 1},
	};
	const workload: Workload = {
		seed: scenario.seed,
		hosts: layout.hosts,
		duration: scenario.duration,
		rate: scenario.load * engines * engineCapacity / meanPrompt,
		organisations,
		shortPart: 0.7,
		longPart: 0.02,
		longest: 400_000,
	};
	const all = arrivals(workload);
	const wanted = scenario.isShortAlone === true ? all.filter(each => each.promptTokens <= shortTokens) : all;
	const fleet = new Fleet(layout, scenario.seed);
	const results = fleet.run(wanted, scenario.duration + deadline);
	return {results, utilisation: fleet.utilisation};
}
