/** What is read out of the runs of one deployment: figures by policy, and the ratios that bounds are set on. */
import {codes, type Policy} from '../../src/core/index.js';
import {type Result} from '../load/recorder.js';
import {loads, type Run, type RunKind} from './experiment.js';
import {spreadOf, type Spread} from './statistics.js';

export type PolicyFigures = {
	/** First token p95 of each class in real milliseconds, in the whole mix. */
	readonly firstToken: Readonly<Record<string, Spread>>;
	/** First token p95 of short prompts, mixed over alone. */
	readonly slowdown: Spread;
	/** Share of requests answered in the whole mix. */
	readonly answered: Spread;
	/** Prefix tokens found cached, as a share of what an all-knowing router would have found. */
	readonly prefixHits: Spread;
};

export type Overload = {
	/** Tokens a second of finished requests over what the engines can serve. */
	readonly goodput: Spread;
	/** Milliseconds until a refusal, p95. */
	readonly refusal: Spread;
	/** Finished requests that were past their deadline, and wrong answers. */
	readonly late: number;
	readonly wrong: number;
	/** Share of the small organisations' requests that were answered, over that of the large ones. */
	readonly smallOverLarge: Spread;
};

export type Summary = {
	readonly deployment: string;
	readonly seeds: number;
	readonly policies: Readonly<Record<string, PolicyFigures>>;
	readonly overload: Overload;
	readonly ratios: Readonly<Record<string, number>>;
	readonly outcomes: Readonly<Record<string, number>>;
	readonly wrongAnswers: number;
};

const classNames = ['short', 'middle', 'long'] as const;
const baselines: readonly Policy[] = ['round-robin', 'least-requests', 'random'];

function select(runs: readonly Run[], kind: RunKind, policy: Policy): readonly Run[] {
	return runs.filter(run => run.kind === kind && run.policy === policy);
}

function firstTokenOf(result: Result, name: string): number {
	return result.classes[name]?.firstToken.p95 ?? 0;
}

function answeredShare(result: Result): number {
	return (result.outcomes[codes.done] ?? 0) / Math.max(result.sent, 1);
}

function slowdowns(runs: readonly Run[], policy: Policy): readonly number[] {
	const alone = new Map(select(runs, 'alone', policy).map(run => [run.seed, firstTokenOf(run.result, 'short')]));
	return select(runs, 'mixed', policy).map(run => firstTokenOf(run.result, 'short') / (alone.get(run.seed) ?? 1));
}

function figuresOf(runs: readonly Run[], policy: Policy): PolicyFigures {
	const mixed = select(runs, 'mixed', policy);
	return {
		firstToken: Object.fromEntries(classNames.map(name => [name, spreadOf(mixed.map(run => firstTokenOf(run.result, name)))])),
		slowdown: spreadOf(slowdowns(runs, policy)),
		answered: spreadOf(mixed.map(run => answeredShare(run.result))),
		prefixHits: spreadOf(mixed.map(run => run.cached / Math.max(run.reusable, Number.EPSILON))),
	};
}

function shareOf(result: Result, prefix: string): number {
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

function overloadOf(runs: readonly Run[]): Overload {
	const overloaded = select(runs, 'overload', 'cost');
	return {
		goodput: spreadOf(overloaded.map(run => run.result.tokensPerSecond / (run.offered / loads.overload))),
		refusal: spreadOf(overloaded.map(run => run.result.refusal.p95)),
		late: overloaded.map(run => run.result.late).reduce((sum, each) => sum + each, 0),
		wrong: overloaded.map(run => run.result.wrongAnswers).reduce((sum, each) => sum + each, 0),
		smallOverLarge: spreadOf(overloaded.map(run => shareOf(run.result, 'small') / Math.max(shareOf(run.result, 'large'), Number.EPSILON))),
	};
}

function ratiosOf(policies: Readonly<Record<string, PolicyFigures>>, overload: Overload): Readonly<Record<string, number>> {
	const cost = policies.cost!;
	const roundRobin = policies['round-robin'];
	const overBest = (name: string) => {
		const others = baselines
			.map(policy => policies[policy]?.firstToken[name]?.median ?? 0)
			.filter(each => each > 0);
		return others.length === 0 ? 0 : cost.firstToken[name]!.median / Math.min(...others);
	};

	return {
		shortSlowdown: cost.slowdown.median,
		shortSlowdownOverRoundRobin: roundRobin === undefined ? 0 : cost.slowdown.median / roundRobin.slowdown.median,
		middleFirstTokenOverBest: overBest('middle'),
		longFirstTokenOverBest: overBest('long'),
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
 * @param deployment - Name of the deployment.
 * @param runs - Every run of it.
 * @returns Medians and spread over seeds.
 */
export function summarise(deployment: string, runs: readonly Run[]): Summary {
	const compared = [...new Set(runs.map(run => run.policy))];
	const policies = Object.fromEntries(compared.map(policy => [policy, figuresOf(runs, policy)]));
	const overload = overloadOf(runs);
	return {
		deployment,
		seeds: new Set(runs.map(run => run.seed)).size,
		policies,
		overload,
		ratios: ratiosOf(policies, overload),
		outcomes: countOutcomes(runs),
		wrongAnswers: runs.map(run => run.result.wrongAnswers).reduce((sum, each) => sum + each, 0),
	};
}
