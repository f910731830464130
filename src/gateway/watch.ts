/** Notices engines that have fallen silent. */
import {type Attempt} from './attempt.js';

/** Milliseconds without a first event, beyond the time predicted and its part, after which an engine is taken to be dark. */
const darkAfter = 900;
const predictionFactor = 2;

/** Milliseconds without an event in mid-stream: callers give a stream up after 2 s. */
const darkGap = 1200;

/** Gives up an engine that has fallen silent, where another one could go on. */
export class Watch {
	readonly #attempt: Attempt;
	readonly #isUsed: boolean;
	readonly #longestPass: () => number;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param attempt - What is given up.
	 * @param isUsed - Whether another engine could go on.
	 * @param predicted - Milliseconds until the first event, as predicted.
	 * @param longestPass - Milliseconds that a pass of the engine may take now.
	 */
	constructor(attempt: Attempt, isUsed: boolean, predicted: number, longestPass: () => number) {
		this.#attempt = attempt;
		this.#isUsed = isUsed;
		this.#longestPass = longestPass;
		this.#wait(darkAfter + (predicted * predictionFactor), 0);
	}

	/** Something came from the engine. */
	heard(): void {
		this.#wait(darkGap, 0);
	}

	end(): void {
		clearTimeout(this.#timer);
	}

	/** A pass that reads a long prompt is as silent as an engine that is gone: it is waited for as long as it is expected. */
	#wait(time: number, waited: number): void {
		clearTimeout(this.#timer);
		if (!this.#isUsed) {
			return;
		}

		this.#timer = setTimeout(() => {
			const silent = waited + time;
			const more = darkAfter + this.#longestPass() - silent;
			if (more > 0) {
				this.#wait(more, silent);
				return;
			}

			this.#attempt.cancel('silent');
		}, time);
	}
}
