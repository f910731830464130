/** Tracks whether the daemon is ready for callers and when it has stopped. */
export class Lifecycle {
	readonly #resolveFinished: () => void;
	readonly #finished: Promise<void>;
	#isReady = false;

	constructor() {
		const {promise, resolve} = withResolvers();
		this.#finished = promise;
		this.#resolveFinished = resolve;
	}

	/** Whether callers may send requests to this host. */
	get isReady(): boolean {
		return this.#isReady;
	}

	/** Resolves once the core has stopped. */
	get finished(): Promise<void> {
		return this.#finished;
	}

	setReady(isReady: boolean): void {
		this.#isReady = isReady;
	}

	/** Resolves `finished`. */
	markStopped(): void {
		this.#resolveFinished();
	}
}

function withResolvers(): {readonly promise: Promise<void>; readonly resolve: () => void} {
	let resolve: () => void = () => undefined;
	const promise = new Promise<void>(done => {
		resolve = done;
	});
	return {promise, resolve};
}
