/** Keeps the highest era of the platform's store that is known, and since when: it rises each time the store returns from a backup. */

export class StoreEras {
	readonly #now: () => number;
	#era = 0;
	/** When the era began, as far as is known here. */
	#since = 0;

	/**
	 * @param now - Monotonic time in milliseconds.
	 */
	constructor(now: () => number) {
		this.#now = now;
	}

	/** Highest era that is known; 0 if the store reports none. */
	get era(): number {
		return this.#era;
	}

	/** When the era began, as far as is known here; monotonic, in milliseconds. */
	get since(): number {
		return this.#since;
	}

	/** Milliseconds since the era was first known, here or at the peer that reported it; undefined if the store reports none. */
	get age(): number | undefined {
		return this.#era === 0 ? undefined : this.#now() - this.#since;
	}

	/**
	 * @param era - Era in an answer of the store or in a message of a peer.
	 * @param age - Milliseconds for which the source has known it.
	 * @returns Whether it is higher than any before.
	 */
	record(era: number, age: number): boolean {
		if (era <= this.#era) {
			return false;
		}

		this.#era = era;
		this.#since = this.#now() - age;
		return true;
	}
}
