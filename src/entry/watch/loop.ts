/** Repeats an asynchronous task until the loop is disposed of. */
import {setTimeout as sleep} from 'node:timers/promises';

/** One iteration; resolves to the delay in milliseconds before the next. */
export type Iteration = (signal: AbortSignal) => Promise<number>;

export class Loop implements AsyncDisposable {
	readonly #controller = new AbortController();
	readonly #finished: Promise<void>;

	/**
	 * @param iterate - Task to repeat; it must handle its own errors.
	 */
	constructor(iterate: Iteration) {
		this.#finished = this.#run(iterate);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#controller.abort();
		await this.#finished;
	}

	async #run(iterate: Iteration): Promise<void> {
		const {signal} = this.#controller;
		while (!signal.aborted) {
			const delay = await iterate(signal);
			try {
				await sleep(delay, undefined, {signal, ref: false});
			} catch {
				return;
			}
		}
	}
}
