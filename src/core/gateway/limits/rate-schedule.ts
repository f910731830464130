/** Schedule of the requests that all hosts together may send to one upstream. Each host advances its copy by every request it knows of. */

/** How the hosts share a limit. */
export type RateShare = {
	/** Share of the fleet whose requests are known here, above 0 and at most 1. */
	readonly visible: number;
	/** Milliseconds over which the hosts spread their use of the next allowed request. */
	readonly spread: number;
};

/** Times are monotonic, in milliseconds. */
export class RateSchedule {
	/** When the next request is due if they are sent at the limit. */
	#nextAt: number;
	/** Milliseconds that this host leaves the next allowed request to others. */
	#delay = 0;

	/**
	 * @param nextAt - When the first request is due.
	 */
	constructor(nextAt: number) {
		this.#nextAt = nextAt;
	}

	/**
	 * Counts a request of any host.
	 *
	 * @param at - When it is sent.
	 * @param interval - Milliseconds between two requests at the limit.
	 * @param delay - Milliseconds that this host leaves the next allowed request to others.
	 */
	count(at: number, interval: number, delay: number): void {
		this.#nextAt = Math.max(this.#nextAt, at) + interval;
		this.#delay = delay;
	}

	/**
	 * @param at - Time at which the next request is due at the latest.
	 */
	advanceTo(at: number): void {
		this.#nextAt = Math.min(this.#nextAt, at);
	}

	/**
	 * @param at - Time before which no request is due.
	 */
	postponeTo(at: number): void {
		this.#nextAt = Math.max(this.#nextAt, at);
	}

	/**
	 * @param now - Time.
	 * @param burstTime - Milliseconds by which requests may be ahead of the schedule.
	 * @returns Milliseconds until the next request is allowed; 0 if it is now.
	 */
	computeWait(now: number, burstTime: number): number {
		return Math.max(this.#nextAt + this.#delay - burstTime - now, 0);
	}
}
