/** Summarizes the results of a run. */
import {type Arrival, minLongTokens, maxShortTokens} from './workload.js';
import {type RequestResult} from './fleet.js';

/**
 * @param values - Numbers in any order.
 * @param fraction - From 0 to 1.
 * @returns The value below which that fraction of them lies; NaN if there are none.
 */
export function percentile(values: readonly number[], fraction: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(Math.floor(fraction * sorted.length), sorted.length - 1)] ?? Number.NaN;
}

/** Share of the run in which queues fill; the goodput leaves it out. */
const warmUpShare = 0.3;

export type Summary = {
	/** Percentile of the time to the first token in milliseconds, by prompt length. */
	readonly short: number;
	readonly middle: number;
	readonly long: number;
	readonly requests: number;
	readonly done: number;
	/** Requests refused on arrival. */
	readonly refused: number;
	/** Requests given up while they were queued. */
	readonly givenUp: number;
	/** Admitted requests that were neither done in time nor given up while queued. */
	readonly late: number;
	/** Longest time to the first token, as a fraction of the time until the deadline. */
	readonly worst: number;
	/** Prompt tokens per second of requests done in time, between the warm-up and the last arrival. */
	readonly goodput: number;
	/** Share of the shareable prompt tokens that were cached. */
	readonly hits: number;
};

function selectFirstTokenTimes(results: readonly RequestResult[], isCounted: (arrival: Arrival) => boolean): readonly number[] {
	return results
		.filter(each => isCounted(each.arrival) && each.firstToken !== undefined)
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
 * @param results - Results of the requests.
 * @param seconds - Duration of the arrivals.
 * @param fraction - Percentile of the first-token times, from 0 to 1.
 * @returns The summary.
 */
export function summarize(results: readonly RequestResult[], seconds: number, fraction = 0.95): Summary {
	const done = results.filter(each => each.outcome?.type === 'done' && each.end! <= each.deadline);
	const notRun = results.filter(each => each.outcome?.type === 'not-run');
	const refused = notRun.filter(each => each.end === each.arrival.at);
	const steady = done.filter(each => each.end! >= seconds * 1000 * warmUpShare && each.end! <= seconds * 1000);
	const firsts = results.filter(each => each.firstToken !== undefined);
	return {
		short: percentile(selectFirstTokenTimes(results, each => each.promptTokens <= maxShortTokens), fraction),
		middle: percentile(selectFirstTokenTimes(results, each => each.promptTokens > maxShortTokens && each.promptTokens < minLongTokens), fraction),
		long: percentile(selectFirstTokenTimes(results, each => each.promptTokens >= minLongTokens), fraction),
		requests: results.length,
		done: done.length,
		refused: refused.length,
		givenUp: notRun.length - refused.length,
		late: results.length - done.length - notRun.length,
		worst: Math.max(0, ...firsts.map(each => each.firstToken! / (each.deadline - each.arrival.at))),
		goodput: sum(steady.map(each => each.arrival.promptTokens)) / (seconds * (1 - warmUpShare)),
		hits: sum(results.map(each => each.cached)) / Math.max(sum(firsts.map(each => each.arrival.prefixTokens)), 1),
	};
}
