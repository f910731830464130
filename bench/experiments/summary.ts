/** Summarises the runs of a deployment: results by policy, and the ratios that `bench/bounds.json` limits. */
import {codes, type Policy} from '../../src/core/index.js';
import {type LoadResult} from '../load/recorder.js';
import {loadFactors, type Run, type RunKind} from './experiment.js';
import {calculateSpread, type Spread} from './statistics.js';

export type PolicySummary = {
	/** 95th percentile of the time to first token for each class in the whole mix, in real milliseconds. */
	readonly firstToken: Readonly<Record<string, Spread>>;
	/** 95th percentile of the time to first token of short prompts: in the whole mix, divided by that without other classes. */
	readonly slowdown: Spread;
	/** Share of requests that were answered in the whole mix. */
	readonly answered: Spread;
	/** Prompt tokens found cached, as a share of those that an ideal router would have found. */
	readonly prefixHits: Spread;
};

export type OverloadSummary = {
	/** Tokens per second of finished requests, as a share of what the engines can serve. */
	readonly goodput: Spread;
	/** 95th percentile of the time until a refusal, in milliseconds. */
	readonly refusal: Spread;
	/** Requests that finished after their deadline, and wrong answers. */
	readonly late: number;
	readonly wrong: number;
	/** Answered share of the small organisations' requests, divided by that of the large ones. */
	readonly smallOverLarge: Spread;
};

export type Summary = {
	readonly deployment: string;
	readonly seeds: number;
	readonly policies: Readonly<Record<string, PolicySummary>>;
	readonly overload: OverloadSummary;
	readonly ratios: Readonly<Record<string, number>>;
	readonly outcomes: Readonly<Record<string, number>>;
	readonly wrongAnswers: number;
};

const classNames = ['short', 'middle', 'long'] as const;
const baselines: readonly Policy[] = ['round-robin', 'least-requests', 'random'];

function selectRuns(runs: readonly Run[], kind: RunKind, policy: Policy): readonly Run[] {
	return runs.filter(run => run.kind === kind && run.policy === policy);
}

function getFirstTokenP95(result: LoadResult, name: string): number {
	return result.classes[name]?.firstToken.p95 ?? 0;
}

function calculateAnsweredShare(result: LoadResult): number {
	return (result.outcomes[codes.done] ?? 0) / Math.max(result.sent, 1);
}

function calculateSlowdowns(runs: readonly Run[], policy: Policy): readonly number[] {
	const alone = new Map(selectRuns(runs, 'alone', policy).map(run => [run.seed, getFirstTokenP95(run.result, 'short')]));
	return selectRuns(runs, 'mixed', policy).map(run => getFirstTokenP95(run.result, 'short') / (alone.get(run.seed) ?? 1));
}

function summarisePolicy(runs: readonly Run[], policy: Policy): PolicySummary {
	const mixed = selectRuns(runs, 'mixed', policy);
	return {
		firstToken: Object.fromEntries(classNames.map(name => [name, calculateSpread(mixed.map(run => getFirstTokenP95(run.result, name)))])),
		slowdown: calculateSpread(calculateSlowdowns(runs, policy)),
		answered: calculateSpread(mixed.map(run => calculateAnsweredShare(run.result))),
		prefixHits: calculateSpread(mixed.map(run => run.cached / Math.max(run.reusable, Number.EPSILON))),
	};
}

/** Calculates the answered share of all organisations whose id has a prefix. */
function calculateGroupAnsweredShare(result: LoadResult, prefix: string): number {
	let sent = 0;
	let done = 0;
	for (const [id, organisation] of Object.entries(result.organisations)) {
		if (id.startsWith(prefix)) {
			sent += organisation.sent;
			done += organisation.done;
		}
	}

	return done / Math.max(sent, 1);
}

function summariseOverload(runs: readonly Run[]): OverloadSummary {
	const overloaded = selectRuns(runs, 'overload', 'cost');
	return {
		goodput: calculateSpread(overloaded.map(run => run.result.tokensPerSecond / (run.offered / loadFactors.overload))),
		refusal: calculateSpread(overloaded.map(run => run.result.refusal.p95)),
		late: overloaded.map(run => run.result.late).reduce((sum, each) => sum + each, 0),
		wrong: overloaded.map(run => run.result.wrongAnswers).reduce((sum, each) => sum + each, 0),
		smallOverLarge: calculateSpread(overloaded.map(run =>
			calculateGroupAnsweredShare(run.result, 'small') / Math.max(calculateGroupAnsweredShare(run.result, 'large'), Number.EPSILON))),
	};
}

function calculateRatios(policies: Readonly<Record<string, PolicySummary>>, overload: OverloadSummary): Readonly<Record<string, number>> {
	const cost = policies.cost!;
	const roundRobin = policies['round-robin'];
	const divideByBestBaseline = (name: string) => {
		const others = baselines
			.map(policy => policies[policy]?.firstToken[name]?.median ?? 0)
			.filter(each => each > 0);
		return others.length === 0 ? 0 : cost.firstToken[name]!.median / Math.min(...others);
	};

	return {
		shortSlowdown: cost.slowdown.median,
		shortSlowdownOverRoundRobin: roundRobin === undefined ? 0 : cost.slowdown.median / roundRobin.slowdown.median,
		middleFirstTokenOverBest: divideByBestBaseline('middle'),
		longFirstTokenOverBest: divideByBestBaseline('long'),
		answered: cost.answered.median,
		prefixHits: cost.prefixHits.median,
		overloadGoodput: overload.goodput.median,
		overloadRefusal: overload.refusal.median,
		overloadSmallOverLarge: overload.smallOverLarge.median,
	};
}

function countOutcomes(runs: readonly Run[]): Readonly<Record<string, number>> {
	const outcomes: Record<string, number> = {};
	for (const {result} of runs) {
		for (const [code, count] of Object.entries(result.outcomes)) {
			outcomes[code] = (outcomes[code] ?? 0) + count;
		}
	}

	return outcomes;
}

/**
 * Summarises all runs of a deployment.
 *
 * @param deployment - Name of the deployment.
 */
export function summarise(deployment: string, runs: readonly Run[]): Summary {
	const compared = [...new Set(runs.map(run => run.policy))];
	const policies = Object.fromEntries(compared.map(policy => [policy, summarisePolicy(runs, policy)]));
	const overload = summariseOverload(runs);
	return {
		deployment,
		seeds: new Set(runs.map(run => run.seed)).size,
		policies,
		overload,
		ratios: calculateRatios(policies, overload),
		outcomes: countOutcomes(runs),
		wrongAnswers: runs.map(run => run.result.wrongAnswers).reduce((sum, each) => sum + each, 0),
	};
}
