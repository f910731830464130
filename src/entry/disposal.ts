/** Parts that are disposed of together, the newest first. The platform's own stack comes only with later versions of Node. */

export class Disposal implements AsyncDisposable {
	readonly #parts: Array<() => Promise<void>> = [];

	/**
	 * @param part - Disposed of with the others.
	 * @returns The same part.
	 */
	use<T extends AsyncDisposable>(part: T): T {
		this.#parts.push(async () => part[Symbol.asyncDispose]());
		return part;
	}

	/**
	 * @param end - Called with the others.
	 */
	defer(end: () => void): void {
		this.#parts.push(async () => {
			end();
		});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (let part = this.#parts.pop(); part !== undefined; part = this.#parts.pop()) {
			await part();
		}
	}
}
