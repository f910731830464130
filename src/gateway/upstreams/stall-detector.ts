/** Detects engines that have stopped sending events. */

/** An engine counts as unresponsive without a first event after the predicted time, multiplied by the factor, plus the margin. */
const firstEventMarginMs = 900;
const predictionFactor = 2;

/** Time without an event in mid-stream: callers give up on a stream after 2 s. */
const maxEventGapMs = 1200;

/** Time without an event after the link of the attempt was found to be cut. */
const hurriedSilenceMs = 300;

export type StallDetectorOptions = {
	/** Returns whether another engine could continue. */
	readonly canContinue: () => boolean;
	/** Forecasts the milliseconds that an iteration of the engine may take now. */
	readonly forecastIterationTime: () => number;
	readonly cancel: () => void;
};

/** Cancels an attempt at an unresponsive engine if another engine could continue. */
export class StallDetector {
	readonly #options: StallDetectorOptions;
	#timer: NodeJS.Timeout | undefined;
	#isHurried = false;
	#isStopped = false;

	/**
	 * @param options - Attempt to cancel.
	 * @param predicted - Predicted milliseconds until the first event.
	 */
	constructor(options: StallDetectorOptions, predicted: number) {
		this.#options = options;
		this.#schedule(firstEventMarginMs + (predicted * predictionFactor), 0);
	}

	/** Notes that events have arrived from the engine. */
	noteEvents(): void {
		this.#isHurried = false;
		this.#isStopped = false;
		this.#schedule(maxEventGapMs, 0);
	}

	/** Expects the next event soon, as the link may be cut. */
	hurry(): void {
		if (!this.#isHurried && !this.#isStopped) {
			this.#isHurried = true;
			this.#schedule(hurriedSilenceMs, 0);
		}
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	/** An engine iteration with a long prefill sends no events either, like a failed engine: waits as long as its forecast says. */
	#schedule(time: number, waited: number): void {
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			const silence = waited + time;
			const rest = this.#isHurried ? 0 : firstEventMarginMs + this.#options.forecastIterationTime() - silence;
			if (rest > 0) {
				this.#schedule(rest, silence);
				return;
			}

			if (this.#options.canContinue()) {
				this.#options.cancel();
			}
		}, time);
	}
}
