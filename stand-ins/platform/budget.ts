/** Call budget shared by all readers of the platform. A waiting watch counts as one call. */

const windowMs = 1000;

export class CallBudget {
	readonly #perSecond: number;
	readonly #callsByReader = new Map<string, number>();
	#windowStart = 0;
	#callsInWindow = 0;
	#calls = 0;
	#refused = 0;
	#busiestWindow = 0;

	constructor(perSecond: number) {
		this.#perSecond = perSecond;
	}

	/**
	 * Counts a call.
	 *
	 * @param reader - Name or address of the caller.
	 * @param now - Monotonic time in milliseconds.
	 * @returns Whether the call is within the budget.
	 */
	countCall(reader: string, now: number): boolean {
		if (now - this.#windowStart >= windowMs) {
			this.#windowStart = now;
			this.#callsInWindow = 0;
		}

		this.#calls++;
		this.#callsInWindow++;
		this.#busiestWindow = Math.max(this.#busiestWindow, this.#callsInWindow);
		this.#callsByReader.set(reader, (this.#callsByReader.get(reader) ?? 0) + 1);
		const isWithin = this.#callsInWindow <= this.#perSecond;
		this.#refused += isWithin ? 0 : 1;
		return isWithin;
	}

	/** Totals so far, and the most calls in one second. */
	get counts() {
		return {
			calls: this.#calls, refused: this.#refused, busiestSecond: this.#busiestWindow, byReader: Object.fromEntries(this.#callsByReader),
		};
	}
}
