/** Decides what a host that is about to stop still takes on. Times are monotonic, in milliseconds. */

/**
 * Requests whose heads arrive later than this after the stop signal are refused: the balancer has noticed by then, and callers on
 * keep-alive connections would go on sending.
 */
const acceptWindowMs = 2600;

/** Running requests are given up this long before the process is killed. */
const killMarginMs = 700;

/** An answer may take this many times as long as expected, and so much longer. */
const expectedTimeFactor = 1.25;
const expectedTimeMarginMs = 200;

/** A stop that was requested. */
export type Stop = {
	/** From then on, requests are refused as they arrive. */
	readonly refusesFrom: number;
	/** What runs then is given up. */
	readonly cutsAt: number;
};

/**
 * @param requestedAt - When the stop was requested.
 * @param grace - Time until the process is killed.
 * @returns The times of the stop.
 */
export function planStop(requestedAt: number, grace: number): Stop {
	const cutsAt = requestedAt + Math.max(grace - killMarginMs, 0);
	return {refusesFrom: Math.min(requestedAt + acceptWindowMs, cutsAt), cutsAt};
}

/**
 * @param stop - Stop of this host.
 * @param expected - Expected time of an answer.
 * @param now - Time.
 * @returns Whether the answer would be complete before it is given up.
 */
export function canFinish({cutsAt}: Stop, expected: number, now: number): boolean {
	return now + (expected * expectedTimeFactor) + expectedTimeMarginMs <= cutsAt;
}
