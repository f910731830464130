/** What callers got, from what became of their requests. */
import {type Result} from './simulation.js';

/**
 * @param result - What became of a request.
 * @returns Whether it was served whole, its first event and all others in time.
 */
export function isInTime({arrival, firstEvent, longestPause, isDone}: Result): boolean {
	return isDone && firstEvent !== undefined && firstEvent <= arrival.kind.objective && longestPause <= arrival.kind.pause;
}

function earned(result: Result): number {
	if (isInTime(result)) {
		return result.arrival.weight;
	}

	return result.isDone ? result.arrival.weight * result.arrival.kind.lateShare : 0;
}

/**
 * @param results - What became of requests.
 * @returns Share of their worth that was served; late answers count in part.
 */
export function worthServed(results: readonly Result[]): number {
	let owed = 0;
	let got = 0;
	for (const result of results) {
		owed += result.arrival.weight;
		got += earned(result);
	}

	return got / owed;
}
