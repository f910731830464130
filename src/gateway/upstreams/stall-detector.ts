/** Detects engines that have stopped sending events. */
import {
	computePatience, firstEventMarginMs, maxEventGapMs, notificationIntervalMs, preparationMs, predictionFactor,
} from '../../core/gateway/health/stall-times.js';

/** Time without an event after the link of the attempt was found to be cut. */
const hurriedSilenceMs = 300;

export type StallDetectorOptions = {
	/** Forecasts the milliseconds that an iteration of the engine may take now. */
	readonly forecastIterationTime: () => number;
	/** Called some time before the engine counts as unresponsive. */
	readonly onQuiet: () => void;
	/** Called when the engine counts as unresponsive, and again as long as it does. */
	readonly onStall: (isFirst: boolean) => void;
};

/** Notices that the engine of an attempt is unresponsive. */
export class StallDetector {
	readonly #options: StallDetectorOptions;
	#timer: NodeJS.Timeout | undefined;
	#immediate: NodeJS.Immediate | undefined;
	#isHurried = false;
	#isStopped = false;
	#hasStalled = false;

	/**
	 * @param options - Whom to notify.
	 * @param predicted - Predicted milliseconds until the first event.
	 */
	constructor(options: StallDetectorOptions, predicted: number) {
		this.#options = options;
		this.#prepare(firstEventMarginMs + (predicted * predictionFactor));
	}

	/** Notes that events have arrived from the engine. */
	noteEvents(): void {
		this.#isHurried = false;
		this.#isStopped = false;
		this.#hasStalled = false;
		this.#prepare(maxEventGapMs);
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
		this.#clear();
	}

	#clear(): void {
		clearTimeout(this.#timer);
		clearImmediate(this.#immediate);
	}

	/** Runs a function after some time without events. Events that arrived while this process was held up are read first. */
	#runAfter(time: number, run: () => void): void {
		this.#clear();
		this.#timer = setTimeout(() => {
			this.#immediate = setImmediate(run);
		}, time);
	}

	#prepare(time: number): void {
		this.#runAfter(time - preparationMs, () => {
			if (this.#computeRest(time) <= 0) {
				this.#options.onQuiet();
			}

			this.#schedule(preparationMs, time - preparationMs);
		});
	}

	#schedule(time: number, waited: number): void {
		this.#runAfter(time, () => {
			const silence = waited + time;
			const rest = this.#isHurried ? 0 : this.#computeRest(silence);
			if (rest > 0) {
				this.#schedule(rest, silence);
				return;
			}

			const isFirst = !this.#hasStalled;
			this.#hasStalled = true;
			this.#schedule(notificationIntervalMs, silence);
			this.#options.onStall(isFirst);
		});
	}

	#computeRest(silence: number): number {
		return computePatience(silence, this.#options.forecastIterationTime());
	}
}
