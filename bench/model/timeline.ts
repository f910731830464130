/** Event queue in virtual time. */

type Entry = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

function isBefore(a: Entry, b: Entry): boolean {
	return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** Runs callbacks in order of their time, and in order of insertion at the same time; a binary heap. */
export class Timeline {
	/** Milliseconds. */
	now = 0;
	readonly #heap: Entry[] = [];
	#order = 0;

	schedule(at: number, run: () => void): void {
		this.#heap.push({at: Math.max(at, this.now), order: this.#order++, run});
		this.#siftUp(this.#heap.length - 1);
	}

	/** Runs every entry up to a time in milliseconds. */
	runUntil(end: number): void {
		for (let next = this.#heap[0]; next !== undefined && next.at <= end; next = this.#heap[0]) {
			this.#removeFirst();
			this.now = next.at;
			next.run();
		}
	}

	#siftUp(start: number): void {
		let index = start;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(this.#heap[index]!, this.#heap[parent]!)) {
				return;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	#removeFirst(): void {
		const last = this.#heap.pop()!;
		if (this.#heap.length === 0) {
			return;
		}

		this.#heap[0] = last;
		for (let index = 0; ;) {
			const left = (2 * index) + 1;
			const right = left + 1;
			const hasRight = right < this.#heap.length && isBefore(this.#heap[right]!, this.#heap[left]!);
			const child = hasRight ? right : left;
			if (child >= this.#heap.length || !isBefore(this.#heap[child]!, this.#heap[index]!)) {
				return;
			}

			this.#swap(index, child);
			index = child;
		}
	}

	#swap(a: number, b: number): void {
		const entry = this.#heap[a]!;
		this.#heap[a] = this.#heap[b]!;
		this.#heap[b] = entry;
	}
}
