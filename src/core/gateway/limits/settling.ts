/**
 * Determines whether a host knows enough of the other hosts' requests to use a limit that they share: not right after its start, nor after a
 * suspension or stall, before it has read what its peers sent meanwhile. Times are in milliseconds.
 */

/** Time after the start until the handshakes with the peers are over. */
const startSettlingMs = 2000;

/** Time after a suspension or stall until the messages that arrived meanwhile have been read. */
const resumeSettlingMs = 1000;

/** Longest time between two observations without a stall; several times the usual one. */
const maxGapMs = 700;

/** Difference between the progress of the two clocks that isn't a suspension. */
const maxDriftMs = 300;

export class Settling {
	#settledAt: number;
	#lastNow: number;
	#lastWall: number;

	/**
	 * @param now - Start of the host; monotonic.
	 * @param wall - The same in Unix time.
	 */
	constructor(now: number, wall: number) {
		this.#lastNow = now;
		this.#lastWall = wall;
		this.#settledAt = now + startSettlingMs;
	}

	/**
	 * Records that the host runs; to be called several times a second, and before each use.
	 *
	 * @param now - Monotonic time, which may stop while the host is suspended.
	 * @param wall - Unix time.
	 */
	observe(now: number, wall: number): void {
		const gap = now - this.#lastNow;
		const drift = Math.abs(wall - this.#lastWall - gap);
		this.#lastNow = now;
		this.#lastWall = wall;
		if (gap > maxGapMs || drift > maxDriftMs) {
			this.#settledAt = Math.max(this.#settledAt, now + resumeSettlingMs);
		}
	}

	/**
	 * @param now - Monotonic time.
	 * @returns Milliseconds until the host knows enough; 0 if it does.
	 */
	computeRemaining(now: number): number {
		return Math.max(this.#settledAt - now, 0);
	}
}
