/** Work done again and again until the daemon closes. */
import {setTimeout as sleep} from 'node:timers/promises';

/** One turn; it returns the milliseconds until the next. */
export type Turn = (signal: AbortSignal) => Promise<number>;

export class Loop implements AsyncDisposable {
	readonly #controller = new AbortController();
	readonly #finished: Promise<void>;

	/**
	 * @param turn - Work of one turn; it handles its own errors.
	 */
	constructor(turn: Turn) {
		this.#finished = this.#run(turn);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#controller.abort();
		await this.#finished;
	}

	async #run(turn: Turn): Promise<void> {
		const {signal} = this.#controller;
		while (!signal.aborted) {
			const wait = await turn(signal);
			try {
				await sleep(wait, undefined, {signal, ref: false});
			} catch {
				return;
			}
		}
	}
}
