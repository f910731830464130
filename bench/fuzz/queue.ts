/** Things that happen later, in the order of their times. */
type Entry = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

export class Agenda {
	now = 0;
	readonly #entries: Entry[] = [];
	#order = 0;

	/**
	 * @param delay - Milliseconds from now.
	 * @param run - What happens then.
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
	 * @param end - Time up to which everything happens, in milliseconds.
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
