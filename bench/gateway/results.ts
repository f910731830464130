/** Rates the outcomes of requests. */
import {type Loss, type Result} from './simulation.js';

/**
 * @returns Whether a request was answered completely, with the first event and all pauses within their targets.
 */
export function isInTime({arrival, firstEvent, longestPause, isDone}: Result): boolean {
	return isDone && firstEvent !== undefined && firstEvent <= arrival.kind.objective && longestPause <= arrival.kind.pause;
}

function getEarnedWeight(result: Result): number {
	if (isInTime(result)) {
		return result.arrival.weight;
	}

	return result.isDone ? result.arrival.weight * result.arrival.kind.lateShare : 0;
}

/**
 * @returns Share of the total weight of requests that was served; late answers count in part.
 */
export function computeServedShare(results: readonly Result[]): number {
	let total = 0;
	let earned = 0;
	for (const result of results) {
		total += result.arrival.weight;
		earned += getEarnedWeight(result);
	}

	return earned / total;
}

/** What became of answers that began. */
export type AnswerCounts = {
	readonly begun: number;
	/** Answers that aren't whole, by why. */
	readonly brokenOff: number;
	readonly enginesUsedUp: number;
	readonly lateSuccessor: number;
	/** Requests that were sent to an engine more than once, whether their answers began or not. */
	readonly sentAgain: number;
};

/**
 * @returns What became of the answers that began, and how many requests were sent more than once.
 */
export function countAnswers(results: readonly Result[]): AnswerCounts {
	const count = (wanted: Loss) => results.filter(({loss}) => loss === wanted).length;
	return {
		begun: results.filter(({firstEvent}) => firstEvent !== undefined).length,
		brokenOff: count('broken off'),
		enginesUsedUp: count('engines used up'),
		lateSuccessor: count('late successor'),
		sentAgain: results.filter(({sent}) => sent > 1).length,
	};
}
