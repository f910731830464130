/** The stall detectors of all attempts in progress. */
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type FleetTunnels} from '../tunnels/fleet-tunnels.js';
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
	readonly #tunnels: Pick<FleetTunnels, 'links' | 'noteUnanswered'>;
	readonly #detectors = new Map<Attempt, {readonly upstream: GatewayUpstream; readonly detector: StallDetector}>();

	/**
	 * @param tunnels - Links of this host, and its tunnels over others.
	 */
	constructor(tunnels: Pick<FleetTunnels, 'links' | 'noteUnanswered'>) {
		this.#tunnels = tunnels;
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
				this.#tunnels.noteUnanswered(upstream, attempt.tunnel);
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

	/** Waits only briefly for attempts over links that were found to be cut and to pass nothing. */
	hurry(): void {
		for (const [attempt, {upstream, detector}] of this.#detectors) {
			const route = this.#tunnels.links.findRoute(upstream);
			if (route.type === 'tunnel' && route.fault !== 'refused' && attempt.tunnel === undefined) {
				detector.hurry();
			}
		}
	}
}
