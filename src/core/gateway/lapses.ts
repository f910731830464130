/** When an upstream whose registration is gone may be taken to be gone itself. */

/**
 * Milliseconds after the store is back within which upstreams that live are registered again, where their registrations
 * lapsed while it was away. Counted from the return and not from each removal: an upstream that leaves just then is left
 * 2.3 s after it said so otherwise, where 2 s are allowed.
 */
const reregistrationGraceMs = 2000;

/** Outages of the store as this host sees them. */
export class Lapses {
	#isLost = false;
	#regainedAt = Number.NEGATIVE_INFINITY;

	/** The store does not answer. */
	lost(): void {
		this.#isLost = true;
	}

	/**
	 * The store answers again.
	 *
	 * @param now - Time in milliseconds.
	 */
	regained(now: number): void {
		if (this.#isLost) {
			this.#isLost = false;
			this.#regainedAt = now;
		}
	}

	/**
	 * @param now - Time in milliseconds.
	 * @returns Milliseconds for which an upstream is kept whose registration is gone now; 0 to drop it at once.
	 */
	delay(now: number): number {
		return this.#isLost ? reregistrationGraceMs : Math.max(this.#regainedAt + reregistrationGraceMs - now, 0);
	}
}
