/** Figures from the results of a run. */
import {type Arrival, longTokens, shortTokens} from './workload.js';
import {type Result} from './fleet.js';

/**
 * @param values - Any numbers.
 * @param part - From 0 to 1.
 * @returns The value below which that part of them lies; not a number if there are none.
 */
export function percentile(values: readonly number[], part: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(Math.floor(part * sorted.length), sorted.length - 1)] ?? Number.NaN;
}

/** Part of the time in which queues fill. */
const warmUp = 0.3;

export type Figures = {
	/** First token in milliseconds, by prompt length. */
	readonly short: number;
	readonly middle: number;
	readonly long: number;
	readonly requests: number;
	readonly done: number;
	/** Refused on arrival, and given up while they waited. */
	readonly refused: number;
	readonly givenUp: number;
	/** Admitted, and neither done in time nor given up unsent. */
	readonly late: number;
	/** Longest wait for the first token, as a part of the deadline. */
	readonly worst: number;
	/** Prompt tokens of requests that ended in time while others arrived, the first part left out, a second. */
	readonly goodput: number;
	/** Part of the shareable prompt tokens that were cached. */
	readonly hits: number;
};

function firstTokens(results: readonly Result[], isWanted: (arrival: Arrival) => boolean): readonly number[] {
	return results
		.filter(each => isWanted(each.arrival) && each.firstToken !== undefined)
		.map(each => each.firstToken!);
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const each of values) {
		total += each;
	}

	return total;
}

/**
 * @param results - What became of the requests.
 * @param seconds - How long they arrived.
 * @param part - Percentile of first-token times, from 0 to 1.
 * @returns The figures.
 */
export function summary(results: readonly Result[], seconds: number, part = 0.95): Figures {
	const done = results.filter(each => each.outcome?.type === 'done' && each.end! <= each.deadline);
	const notRun = results.filter(each => each.outcome?.type === 'not-run');
	const refused = notRun.filter(each => each.end === each.arrival.at);
	const steady = done.filter(each => each.end! >= seconds * 1000 * warmUp && each.end! <= seconds * 1000);
	const firsts = results.filter(each => each.firstToken !== undefined);
	return {
		short: percentile(firstTokens(results, each => each.promptTokens <= shortTokens), part),
		middle: percentile(firstTokens(results, each => each.promptTokens > shortTokens && each.promptTokens < longTokens), part),
		long: percentile(firstTokens(results, each => each.promptTokens >= longTokens), part),
		requests: results.length,
		done: done.length,
		refused: refused.length,
		givenUp: notRun.length - refused.length,
		late: results.length - done.length - notRun.length,
		worst: Math.max(0, ...firsts.map(each => each.firstToken! / (each.deadline - each.arrival.at))),
		goodput: sum(steady.map(each => each.arrival.promptTokens)) / (seconds * (1 - warmUp)),
		hits: sum(results.map(each => each.cached)) / Math.max(sum(firsts.map(each => each.arrival.prefixTokens)), 1),
	};
}
