/** How long a host waits for the events of an engine before it takes the engine for unresponsive. */

/** An engine counts as unresponsive without a first event after the predicted time, multiplied by the factor, plus the margin. */
export const firstEventMarginMs = 900;
export const predictionFactor = 2;

/** Time without an event in mid-stream: callers give up on a stream after 2 s. */
export const maxEventGapMs = 1200;

/** Time in milliseconds before an engine counts as unresponsive in which another one is asked whether it could take over. */
export const preparationMs = 350;

/** Time in milliseconds between two notifications while the engine stays unresponsive. */
export const notificationIntervalMs = 100;

/**
 * @param silence - Milliseconds without an event.
 * @param iterationTime - Milliseconds that an iteration of the engine may take now: one with a long prefill sends no events either.
 * @returns Milliseconds that are left until the engine counts as unresponsive; none if this isn't positive.
 */
export function computePatience(silence: number, iterationTime: number): number {
	return firstEventMarginMs + iterationTime - silence;
}
