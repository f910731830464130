/** The call budget that all readers of the platform share; a waiting watch counts as one call. */

const second = 1000;

export class CallBudget {
	readonly #perSecond: number;
	readonly #byReader = new Map<string, number>();
	#windowStart = 0;
	#inWindow = 0;
	#calls = 0;
	#refused = 0;
	#busiest = 0;

	constructor(perSecond: number) {
		this.#perSecond = perSecond;
	}

	/**
	 * @param reader - Who calls.
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether the call is within the budget.
	 */
	take(reader: string, now: number): boolean {
		if (now - this.#windowStart >= second) {
			this.#windowStart = now;
			this.#inWindow = 0;
		}

		this.#calls++;
		this.#inWindow++;
		this.#busiest = Math.max(this.#busiest, this.#inWindow);
		this.#byReader.set(reader, (this.#byReader.get(reader) ?? 0) + 1);
		const isWithin = this.#inWindow <= this.#perSecond;
		this.#refused += isWithin ? 0 : 1;
		return isWithin;
	}

	/** Counts so far, and the most calls in one second. */
	get counts() {
		return {
			calls: this.#calls, refused: this.#refused, busiestSecond: this.#busiest, byReader: Object.fromEntries(this.#byReader),
		};
	}
}
