/** Blocks callers while it is closed. */
export class Gate {
	#promise: Promise<void> | undefined;
	#resolve: (() => void) | undefined;

	get isClosed(): boolean {
		return this.#promise !== undefined;
	}

	close(): void {
		this.#promise ??= new Promise(resolve => {
			this.#resolve = resolve;
		});
	}

	open(): void {
		this.#resolve?.();
		this.#promise = undefined;
		this.#resolve = undefined;
	}

	/** Resolves once the gate is open; at once if it already is. */
	async waitUntilOpen(): Promise<void> {
		await this.#promise;
	}
}
