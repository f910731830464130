/** Compares routing policies on one fleet, run after run in alternation. */
import {type Policy} from '../../src/core/index.js';
import {Fleet} from '../fleet/fleet.js';
import {type Result} from '../load/recorder.js';
import {scenarioSchema, type Scenario} from '../load/scenario.js';
import {planTrace, reusableShare, type Planned} from '../load/trace.js';
import {cacheUse, switchPolicy} from './control.js';
import {runLoadProcess} from './load-process.js';
import {scenarioFor, type Deployment, type Variation} from './scenarios.js';

export const policies: readonly Policy[] = ['cost', 'round-robin', 'least-requests', 'random'];

export type RunKind = 'mixed' | 'alone' | 'overload';

/** One measured run. */
export type Run = {
	readonly policy: Policy;
	readonly kind: RunKind;
	readonly seed: number;
	readonly result: Result;
	/** Share of prompt tokens found cached, and the share that an all-knowing router would have found. */
	readonly cached: number;
	readonly reusable: number;
	/** Prompt and answer tokens a second that were asked for. */
	readonly offered: number;
};

export type Plan = {
	readonly seeds: readonly number[];
	readonly policies: readonly Policy[];
	/** Real milliseconds of each run. */
	readonly duration: number;
};

const millisecondsPerSecond = 1000;
export const loads: Readonly<Record<RunKind, number>> = {mixed: 0.7, alone: 0.7, overload: 1.3};

/** Length of each kind of run, as a share of the plan's duration. */
const lengths: Readonly<Record<RunKind, number>> = {mixed: 1, alone: 0.5, overload: 2.5};

/** Short enough, in real milliseconds, that the queue of an overload run cannot hold all that is too much. */
const overloadTimeout = 5000;

/** Told of each run when it is over. */
export type Progress = (run: Run) => void;

function offeredPerSecond(trace: readonly Planned[], {warmUp, duration}: Scenario): number {
	let tokens = 0;
	for (const {at, promptTokens, output} of trace) {
		tokens += at < warmUp ? 0 : promptTokens + output;
	}

	return tokens / (duration - warmUp) * millisecondsPerSecond;
}

class Experiment {
	readonly #deployment: Deployment;
	readonly #fleet: Fleet;
	readonly #plan: Plan;
	readonly #progress: Progress;
	readonly #runs: Run[] = [];

	constructor(deployment: Deployment, fleet: Fleet, plan: Plan, progress: Progress) {
		this.#deployment = deployment;
		this.#fleet = fleet;
		this.#plan = plan;
		this.#progress = progress;
	}

	/** Every policy for each seed, each time beginning with another one. */
	async run(): Promise<readonly Run[]> {
		const {seeds, policies: compared} = this.#plan;
		for (const [place, seed] of seeds.entries()) {
			const turn = place % compared.length;
			for (const policy of [...compared.slice(turn), ...compared.slice(0, turn)]) {
				await switchPolicy(this.#fleet, policy);
				await this.#measure(policy, 'alone', seed);
				await this.#measure(policy, 'mixed', seed);
				if (policy === 'cost') {
					await this.#measure(policy, 'overload', seed);
				}
			}
		}

		return this.#runs;
	}

	async #measure(policy: Policy, kind: RunKind, seed: number): Promise<void> {
		const variation: Variation = {
			seed,
			textSeed: this.#runs.length,
			load: loads[kind],
			duration: this.#plan.duration * lengths[kind],
			...(kind === 'alone' && {only: 'short'}),
			...(kind === 'overload' && {timeout: overloadTimeout}),
		};
		const scenario = scenarioSchema.parse(scenarioFor(this.#deployment, this.#fleet.hosts.alive.map(host => host.caller), variation));
		const trace = planTrace(scenario);
		const before = await cacheUse(this.#fleet);
		const result = await runLoadProcess(scenario);
		const after = await cacheUse(this.#fleet);
		const run: Run = {
			policy,
			kind,
			seed,
			result,
			cached: (after.cached - before.cached) / Math.max(after.prompt - before.prompt, 1),
			reusable: reusableShare(trace),
			offered: offeredPerSecond(trace, scenario),
		};
		this.#runs.push(run);
		this.#progress(run);
	}
}

/**
 * @param deployment - Deployment.
 * @param plan - Seeds and policies.
 * @param progress - Told of each run.
 * @returns Every run.
 */
export async function compare(deployment: Deployment, plan: Plan, progress: Progress): Promise<readonly Run[]> {
	await using fleet = await Fleet.start(deployment.shape);
	const experiment = new Experiment(deployment, fleet, plan, progress);
	const runs = await experiment.run();
	return runs;
}
