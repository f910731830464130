/** Decides how long to keep an upstream whose registration is missing: after an outage of the store it may only have expired. */

/**
 * Time in milliseconds after an outage of the store within which live upstreams renew registrations that expired meanwhile. Counted from
 * the end of the outage and not from each removal: otherwise an upstream that leaves just then is dropped 2.3 s after it announced it,
 * where 2 s are allowed.
 */
const reregistrationGraceMs = 2000;

/** Outages of the store, as observed by this host. */
export class StoreOutages {
	#isLost = false;
	#regainedAt = Number.NEGATIVE_INFINITY;

	/** Records that the store does not respond. */
	markLost(): void {
		this.#isLost = true;
	}

	/**
	 * Records that the store responds again.
	 *
	 * @param now - Time in milliseconds.
	 */
	markRegained(now: number): void {
		if (this.#isLost) {
			this.#isLost = false;
			this.#regainedAt = now;
		}
	}

	/**
	 * @param now - Time in milliseconds.
	 * @returns Milliseconds for which to keep an upstream whose registration is now missing; 0 to drop it at once.
	 */
	removalDelay(now: number): number {
		return this.#isLost ? reregistrationGraceMs : Math.max(this.#regainedAt + reregistrationGraceMs - now, 0);
	}
}
