/** Compares routing policies on one fleet, in alternating runs. */
import {type Policy} from '../../src/core/index.js';
import {Fleet} from '../fleet/fleet.js';
import {type LoadResult} from '../load/recorder.js';
import {scenarioSchema, type Scenario} from '../load/scenario.js';
import {generateTrace, computeReusableShare, type PlannedRequest} from '../load/trace.js';
import {readCacheUse, switchPolicy} from './control.js';
import {runLoadProcess} from './load-process.js';
import {buildScenario, type Deployment, type Variation} from './scenarios.js';

export const policies: readonly Policy[] = ['cost', 'round-robin', 'least-requests', 'random'];

export type RunKind = 'mixed' | 'alone' | 'overload';

/** One measured run. */
export type Run = {
	readonly policy: Policy;
	readonly kind: RunKind;
	readonly seed: number;
	readonly result: LoadResult;
	/** Share of prompt tokens that was found cached, and the share that an ideal router would have found. */
	readonly cached: number;
	readonly reusable: number;
	/** Requested prompt and answer tokens per second. */
	readonly offered: number;
};

export type ComparisonPlan = {
	readonly seeds: readonly number[];
	readonly policies: readonly Policy[];
	/** Real milliseconds of each run. */
	readonly duration: number;
};

const millisecondsPerSecond = 1000;
/** Load of each kind of run, as a share of the capacity. */
export const loadFactors: Readonly<Record<RunKind, number>> = {mixed: 0.7, alone: 0.7, overload: 1.3};

/** Duration of each kind of run, as a share of the plan's duration. */
const durationFactors: Readonly<Record<RunKind, number>> = {mixed: 1, alone: 0.5, overload: 2.5};

/** In real time; so short that the queue cannot absorb the whole excess load of an overload run. */
const overloadTimeoutMs = 5000;

/** Called after each run. */
export type RunListener = (run: Run) => void;

function calculateOfferedRate(trace: readonly PlannedRequest[], {warmUp, duration}: Scenario): number {
	let tokens = 0;
	for (const {at, promptTokens, output} of trace) {
		tokens += at < warmUp ? 0 : promptTokens + output;
	}

	return tokens / (duration - warmUp) * millisecondsPerSecond;
}

class Experiment {
	readonly #deployment: Deployment;
	readonly #fleet: Fleet;
	readonly #plan: ComparisonPlan;
	readonly #onRun: RunListener;
	readonly #runs: Run[] = [];

	constructor(deployment: Deployment, fleet: Fleet, plan: ComparisonPlan, onRun: RunListener) {
		this.#deployment = deployment;
		this.#fleet = fleet;
		this.#plan = plan;
		this.#onRun = onRun;
	}

	/** Runs every policy for each seed, beginning with a different policy each time. */
	async run(): Promise<readonly Run[]> {
		const {seeds, policies: compared} = this.#plan;
		for (const [seedIndex, seed] of seeds.entries()) {
			const offset = seedIndex % compared.length;
			for (const policy of [...compared.slice(offset), ...compared.slice(0, offset)]) {
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
			load: loadFactors[kind],
			duration: this.#plan.duration * durationFactors[kind],
			...(kind === 'alone' && {onlyClass: 'short'}),
			...(kind === 'overload' && {timeout: overloadTimeoutMs}),
		};
		const scenario = scenarioSchema.parse(buildScenario(this.#deployment, this.#fleet.hosts.alive.map(host => host.caller), variation));
		const trace = generateTrace(scenario);
		const before = await readCacheUse(this.#fleet);
		const result = await runLoadProcess(scenario);
		const after = await readCacheUse(this.#fleet);
		const run: Run = {
			policy,
			kind,
			seed,
			result,
			cached: (after.cached - before.cached) / Math.max(after.prompt - before.prompt, 1),
			reusable: computeReusableShare(trace),
			offered: calculateOfferedRate(trace, scenario),
		};
		this.#runs.push(run);
		this.#onRun(run);
	}
}

/**
 * Starts a fleet and compares policies on it.
 *
 * @param onRun - Called after each run.
 * @returns Every run.
 */
export async function comparePolicies(deployment: Deployment, plan: ComparisonPlan, onRun: RunListener): Promise<readonly Run[]> {
	await using fleet = await Fleet.start(deployment.shape);
	const experiment = new Experiment(deployment, fleet, plan, onRun);
	const runs = await experiment.run();
	return runs;
}
