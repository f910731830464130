/** A host's client of the simulated store. */
import {type Page, type WatchResult} from '../../platform/store.js';
import {raise} from '../../src/core/index.js';
import {answerTimeMs, wait, type SimulatedStore} from './store.js';

/** Its calls may be rejected or abandoned, and their results wait while the host is frozen. */
export class StoreClient implements AsyncDisposable {
	/** Whether calls fail. */
	isRejected = false;
	/** Highest era in an answer of the store. */
	era = 0;
	readonly #store: SimulatedStore;
	readonly #waitUntilRunning: () => Promise<void>;
	/** Fail the calls that are pending. */
	readonly #rejections = new Set<(error: Error) => void>();

	/**
	 * @param store - Store that it calls.
	 * @param waitUntilRunning - Resolves when the host is not frozen.
	 */
	constructor(store: SimulatedStore, waitUntilRunning: () => Promise<void>) {
		this.#store = store;
		this.#waitUntilRunning = waitUntilRunning;
	}

	async range(prefix: string): Promise<Page> {
		return this.#call(async () => this.#store.range(prefix));
	}

	async watch(_: string, after: number, maxWait: number): Promise<WatchResult> {
		return this.#call(async () => this.#store.watch(after, maxWait));
	}

	/** Fails the calls that are pending. */
	abandonCalls(): void {
		for (const reject of this.#rejections) {
			reject(new Error('call abandoned'));
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		// Calls that are pending when the simulation ends are never answered.
	}

	async #call<T>(callStore: () => Promise<T>): Promise<T> {
		await this.#waitUntilRunning();
		if (this.isRejected) {
			await wait(answerTimeMs);
			return raise('storeUnavailable', 'call rejected');
		}

		const isAnswered = this.#store.absence !== 'silent';
		const {promise: abandoned, reject} = createRejection();
		this.#rejections.add(reject);
		try {
			return await Promise.race([callStore(), abandoned]);
		} finally {
			this.#rejections.delete(reject);
			await this.#waitUntilRunning();
			this.era = isAnswered ? Math.max(this.era, this.#store.era) : this.era;
		}
	}
}

/** Returns a promise that only ever rejects, and the function that rejects it. */
function createRejection(): {readonly promise: Promise<never>; readonly reject: (error: Error) => void} {
	let reject!: (error: Error) => void;
	const promise = new Promise<never>((_, rejectPromise) => {
		reject = rejectPromise;
	});
	return {promise, reject};
}
