/** Things to do in virtual time, in order. */

type Entry = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

function isBefore(a: Entry, b: Entry): boolean {
	return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** A binary heap; entries of the same time run in the order in which they were added. */
export class Timeline {
	now = 0;
	readonly #heap: Entry[] = [];
	#order = 0;

	add(at: number, run: () => void): void {
		this.#heap.push({at: Math.max(at, this.now), order: this.#order++, run});
		this.#rise(this.#heap.length - 1);
	}

	/** Runs everything up to a time in milliseconds. */
	runUntil(end: number): void {
		for (let next = this.#heap[0]; next !== undefined && next.at <= end; next = this.#heap[0]) {
			this.#removeFirst();
			this.now = next.at;
			next.run();
		}
	}

	#rise(start: number): void {
		let place = start;
		while (place > 0) {
			const parent = Math.floor((place - 1) / 2);
			if (!isBefore(this.#heap[place]!, this.#heap[parent]!)) {
				return;
			}

			this.#swap(place, parent);
			place = parent;
		}
	}

	#removeFirst(): void {
		const last = this.#heap.pop()!;
		if (this.#heap.length === 0) {
			return;
		}

		this.#heap[0] = last;
		for (let place = 0; ;) {
			const left = (2 * place) + 1;
			const right = left + 1;
			const hasRight = right < this.#heap.length && isBefore(this.#heap[right]!, this.#heap[left]!);
			const child = hasRight ? right : left;
			if (child >= this.#heap.length || !isBefore(this.#heap[child]!, this.#heap[place]!)) {
				return;
			}

			this.#swap(place, child);
			place = child;
		}
	}

	#swap(a: number, b: number): void {
		const entry = this.#heap[a]!;
		this.#heap[a] = this.#heap[b]!;
		this.#heap[b] = entry;
	}
}
