/** The stall detectors of all attempts in progress. */
import {type Links} from '../../core/gateway/health/links.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type Attempt} from './attempt.js';
import {StallDetector} from './stall-detector.js';

/** An attempt in progress. */
export type WatchedAttempt = {
	readonly attempt: Attempt;
	readonly upstream: GatewayUpstream;
	/** Returns whether another engine could continue. */
	readonly canContinue: () => boolean;
	/** Predicted milliseconds until the first event. */
	readonly predicted: number;
	/** Forecasts the milliseconds that an iteration of the engine may take now. */
	readonly forecastIterationTime: () => number;
};

export class StallDetectors {
	readonly #links: Links;
	readonly #detectors = new Map<Attempt, {readonly upstream: GatewayUpstream; readonly detector: StallDetector}>();
	#silenceListener: ((upstream: GatewayUpstream) => void) | undefined;

	/**
	 * @param links - Links of this host.
	 */
	constructor(links: Links) {
		this.#links = links;
	}

	/**
	 * @param listener - Called with the upstream of an attempt over the link of this host that was cancelled as it was silent.
	 */
	onSilence(listener: (upstream: GatewayUpstream) => void): void {
		this.#silenceListener = listener;
	}

	/**
	 * @param watched - Attempt that is about to be sent.
	 * @returns Its detector, until `delete`.
	 */
	add({attempt, upstream, canContinue, predicted, forecastIterationTime}: WatchedAttempt): StallDetector {
		const detector = new StallDetector({
			canContinue,
			forecastIterationTime,
			cancel: () => {
				attempt.cancel('silent');
				if (attempt.tunnel === undefined) {
					this.#silenceListener?.(upstream);
				}
			},
		}, predicted);
		this.#detectors.set(attempt, {upstream, detector});
		return detector;
	}

	/**
	 * @param attempt - Attempt that has ended.
	 */
	delete(attempt: Attempt): void {
		this.#detectors.get(attempt)?.detector.stop();
		this.#detectors.delete(attempt);
	}

	/** Waits only briefly for attempts over links that were found to be cut and silent. */
	hurry(): void {
		for (const [attempt, {upstream, detector}] of this.#detectors) {
			const route = this.#links.findRoute(upstream);
			if (route.type === 'tunnel' && route.failure === 'silent' && attempt.tunnel === undefined) {
				detector.hurry();
			}
		}
	}
}
