/** Runs callbacks in virtual time, ordered by their times. */
type Entry = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

export class Scheduler {
	now = 0;
	readonly #entries: Entry[] = [];
	#order = 0;

	/**
	 * Schedules a callback; callbacks of the same time run in the order of these calls.
	 *
	 * @param delay - Milliseconds from now.
	 * @param run - Callback.
	 */
	after(delay: number, run: () => void): void {
		const entry = {at: this.now + delay, order: this.#order++, run};
		let low = 0;
		let high = this.#entries.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#entries[middle]!.at <= entry.at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.#entries.splice(low, 0, entry);
	}

	/**
	 * @param end - Time in milliseconds up to which callbacks run, included.
	 */
	runUntil(end: number): void {
		for (let next = this.#entries[0]; next !== undefined && next.at <= end; next = this.#entries[0]) {
			this.#entries.shift();
			this.now = next.at;
			next.run();
		}

		this.now = end;
	}
}
