/** Rates the outcomes of requests. */
import {type Result} from './simulation.js';

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
