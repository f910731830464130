/**
 * Determines whether a host of a large fleet may use a limit that hosts share, from the silence of the relay that forwards the others'
 * requests. A host asks its relay before each placement. If all hosts lose all links at the same moment, each would go on for a second, until it
 * notices, as if the others sent nothing. Times are in milliseconds.
 */

/** Longest silence of a relay that is linked: it responds within a few milliseconds, and sends its batches after at most 100. */
const maxSilenceMs = 100;

/** Time after which the relay may have sent a message again: the next placement sends it a request. */
const retryMs = 100;

/**
 * @param silence - Time since the last message of the relay; undefined if this host has none, or counts it as lost.
 * @returns Time until the host may know enough of the others' requests; 0 if it does.
 */
export function computeRelayWait(silence: number | undefined): number {
	return silence !== undefined && silence > maxSilenceMs ? retryMs : 0;
}
