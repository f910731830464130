/** Disposes of resources together, the newest first. Node.js 20 has no `AsyncDisposableStack`. */
export class DisposalStack implements AsyncDisposable {
	readonly #callbacks: Array<() => Promise<void>> = [];

	/**
	 * Adds a resource, which is disposed of with the others from now on.
	 *
	 * @param resource - The resource.
	 * @returns The same resource.
	 */
	use<T extends AsyncDisposable>(resource: T): T {
		this.#callbacks.push(async () => resource[Symbol.asyncDispose]());
		return resource;
	}

	/** Adds a callback, which runs at its place in the order of disposal. */
	defer(callback: () => void): void {
		this.#callbacks.push(async () => {
			callback();
		});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (let callback = this.#callbacks.pop(); callback !== undefined; callback = this.#callbacks.pop()) {
			await callback();
		}
	}
}
