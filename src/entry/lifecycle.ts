/** Whether the daemon is ready, and when it is over. */
export class Lifecycle {
	readonly #finish: () => void;
	readonly #finished: Promise<void>;
	#isReady = false;

	constructor() {
		const {promise, resolve} = withResolvers();
		this.#finished = promise;
		this.#finish = resolve;
	}

	/** Whether callers may be sent here. */
	get isReady(): boolean {
		return this.#isReady;
	}

	/** Settles once the core has stopped. */
	get finished(): Promise<void> {
		return this.#finished;
	}

	/**
	 * @param isReady - Whether callers may be sent here.
	 */
	setReady(isReady: boolean): void {
		this.#isReady = isReady;
	}

	/** The core has stopped. */
	stop(): void {
		this.#finish();
	}
}

function withResolvers(): {readonly promise: Promise<void>; readonly resolve: () => void} {
	let resolve: () => void = () => undefined;
	const promise = new Promise<void>(done => {
		resolve = done;
	});
	return {promise, resolve};
}
