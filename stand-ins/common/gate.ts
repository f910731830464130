/** A gate that callers wait at while it is shut. */

export class Gate {
	#promise: Promise<void> | undefined;
	#resolve: (() => void) | undefined;

	get isShut(): boolean {
		return this.#promise !== undefined;
	}

	shut(): void {
		this.#promise ??= new Promise(resolve => {
			this.#resolve = resolve;
		});
	}

	open(): void {
		this.#resolve?.();
		this.#promise = undefined;
		this.#resolve = undefined;
	}

	/** Waits until the gate is open. */
	async opened(): Promise<void> {
		await this.#promise;
	}
}
