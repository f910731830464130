/** Detects engines that have stopped sending events. */
import {type Attempt} from './attempt.js';

/** An engine counts as unresponsive without a first event after the predicted time, multiplied by the factor, plus the margin. */
const firstEventMarginMs = 900;
const predictionFactor = 2;

/** Time without an event in mid-stream: callers give up on a stream after 2 s. */
const maxEventGapMs = 1200;

/** Cancels an attempt at an unresponsive engine if another engine could continue. */
export class StallDetector {
	readonly #attempt: Attempt;
	readonly #canContinue: () => boolean;
	readonly #forecastIterationTime: () => number;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param attempt - Attempt to cancel.
	 * @param canContinue - Returns whether another engine could continue.
	 * @param predicted - Predicted milliseconds until the first event.
	 * @param forecastIterationTime - Forecasts the milliseconds that an iteration of the engine may take now.
	 */
	constructor(attempt: Attempt, canContinue: () => boolean, predicted: number, forecastIterationTime: () => number) {
		this.#attempt = attempt;
		this.#canContinue = canContinue;
		this.#forecastIterationTime = forecastIterationTime;
		this.#schedule(firstEventMarginMs + (predicted * predictionFactor), 0);
	}

	/** Notes that events have arrived from the engine. */
	noteEvents(): void {
		this.#schedule(maxEventGapMs, 0);
	}

	stop(): void {
		clearTimeout(this.#timer);
	}

	/** An engine iteration with a long prefill sends no events either, like a failed engine: waits as long as its forecast says. */
	#schedule(time: number, waited: number): void {
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			const silence = waited + time;
			const rest = firstEventMarginMs + this.#forecastIterationTime() - silence;
			if (rest > 0) {
				this.#schedule(rest, silence);
				return;
			}

			if (this.#canContinue()) {
				this.#attempt.cancel('silent');
			}
		}, time);
	}
}
