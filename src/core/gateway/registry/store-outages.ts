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
	#restoredAt = Number.NEGATIVE_INFINITY;

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

	/** Whether the store has ever returned from a backup. */
	get hasBeenRestored(): boolean {
		return this.#restoredAt !== Number.NEGATIVE_INFINITY;
	}

	/**
	 * Records that the store has returned from a backup, which may lack registrations of live upstreams.
	 *
	 * @param now - Time in milliseconds.
	 */
	markRestored(now: number): void {
		this.#restoredAt = now;
		this.#regainedAt = now;
	}

	/**
	 * @param at - Time in milliseconds.
	 * @returns Whether the store was still missing, at that time, what is written to it again after its return from a backup.
	 */
	isBeingRewritten(at: number): boolean {
		return this.restoredRemovalDelay(at) > 0;
	}

	/**
	 * @param now - Time in milliseconds.
	 * @returns Milliseconds for which to keep an upstream that is missing from the backup to which the store has returned; 0 to drop it.
	 */
	restoredRemovalDelay(now: number): number {
		return Math.max(this.#restoredAt + reregistrationGraceMs - now, 0);
	}

	/**
	 * @param now - Time in milliseconds.
	 * @returns Milliseconds for which to keep an upstream whose registration is now missing; 0 to drop it at once.
	 */
	removalDelay(now: number): number {
		return this.#isLost ? reregistrationGraceMs : Math.max(this.#regainedAt + reregistrationGraceMs - now, 0);
	}
}
