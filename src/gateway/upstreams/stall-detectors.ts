/** The stall detectors of all attempts in progress, and which engines have sent something lately. */
import {Silences, silenceMs, type SilenceView} from '../../core/gateway/health/silences.js';
import {predictionFactor} from '../../core/gateway/health/stall-times.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type Clock} from '../../entry/clock.js';
import {type FleetTunnels} from '../tunnels/fleet-tunnels.js';
import {type Attempt} from './attempt.js';
import {StallDetector} from './stall-detector.js';

/** Time in milliseconds for which a view is used. */
const viewMs = 30;

export type StallDetectorsOptions = {
	/** Links of this host, and its tunnels over others. */
	readonly tunnels: Pick<FleetTunnels, 'links' | 'noteUnanswered'>;
	readonly clock: Pick<Clock, 'now'>;
	/** Forecasts the milliseconds that an iteration of an engine may take now. */
	readonly forecastIterationTime: (engine: string) => number;
	/** Called when an engine sends something. */
	readonly onLife: (engine: GatewayUpstream) => void;
};

/** An attempt in progress. */
export type WatchedAttempt = {
	readonly attempt: Attempt;
	readonly upstream: GatewayUpstream;
	/** Predicted milliseconds until the first event. */
	readonly predicted: number;
	/** Returns whether another engine could continue. */
	readonly canContinue: () => boolean;
	/** Called if another engine may soon have to continue. */
	readonly onQuiet: () => void;
	/** Called when another engine should continue, and again as long as the engine is unresponsive. */
	readonly onStall: () => void;
};

export class StallDetectors {
	readonly #options: StallDetectorsOptions;
	readonly #silences: Silences<Attempt>;
	/** Last views, by service. */
	readonly #views = new Map<string, {readonly view: SilenceView; readonly at: number}>();
	readonly #detectors = new Map<Attempt, {readonly upstream: GatewayUpstream; readonly detector: StallDetector}>();

	/**
	 * @param options - What is known of engines and links.
	 */
	constructor(options: StallDetectorsOptions) {
		this.#options = options;
		this.#silences = new Silences(options.forecastIterationTime);
	}

	/**
	 * @param watched - Attempt that is about to be sent.
	 */
	add({
		attempt, upstream, predicted, canContinue, onQuiet, onStall,
	}: WatchedAttempt): void {
		const {clock, forecastIterationTime} = this.#options;
		const detector = new StallDetector({
			forecastIterationTime: () => forecastIterationTime(upstream.id),
			onQuiet() {
				if (canContinue()) {
					onQuiet();
				}
			},
			onStall: isFirst => {
				if (canContinue()) {
					this.#noteUnanswered(attempt, upstream, isFirst);
					onStall();
				}
			},
		}, predicted);
		this.#detectors.set(attempt, {upstream, detector});
		this.#silences.expect(attempt, upstream, clock.now() + (predicted * predictionFactor) + silenceMs);
	}

	/**
	 * @param attempt - Attempt whose events were read, or that is read again.
	 */
	noteEvents(attempt: Attempt): void {
		const watched = this.#detectors.get(attempt);
		if (watched !== undefined) {
			watched.detector.noteEvents();
			this.#silences.expect(attempt, watched.upstream, this.#options.clock.now() + silenceMs);
		}
	}

	/**
	 * @param attempt - Attempt that isn't read for now.
	 */
	pause(attempt: Attempt): void {
		const watched = this.#detectors.get(attempt);
		if (watched !== undefined) {
			watched.detector.stop();
			this.#silences.expect(attempt, watched.upstream, Number.POSITIVE_INFINITY);
		}
	}

	/**
	 * @param attempt - Attempt that has ended.
	 */
	delete(attempt: Attempt): void {
		this.#detectors.get(attempt)?.detector.stop();
		this.#detectors.delete(attempt);
		this.#silences.end(attempt);
	}

	/** Waits only briefly for attempts over links that were found to be cut and to pass nothing. */
	hurry(): void {
		for (const [attempt, {upstream, detector}] of this.#detectors) {
			const route = this.#options.tunnels.links.findRoute(upstream);
			if (route.type === 'tunnel' && route.fault !== 'refused' && attempt.tunnel === undefined) {
				detector.hurry();
				// The link is silent, not the engine.
				this.#silences.end(attempt);
			}
		}
	}

	/**
	 * @param engine - Engine that has sent something.
	 */
	recordLife(engine: GatewayUpstream): void {
		this.#silences.recordLife(engine, this.#options.clock.now());
		this.#options.onLife(engine);
	}

	/**
	 * @param engine - Engine that gave no answer to a health check in time.
	 */
	recordFailedCheck(engine: GatewayUpstream): void {
		this.#silences.recordFailedCheck(engine, this.#options.clock.now());
	}

	/**
	 * @param service - Service of an answer that has no live engine to go to.
	 */
	recordStranded(service: string): void {
		this.#silences.recordStranded(service, this.#options.clock.now());
	}

	/**
	 * @param engine - Id of an engine.
	 * @returns Whether it has sent something a moment ago.
	 */
	isLive(engine: string): boolean {
		return this.#silences.isLive(engine, this.#options.clock.now());
	}

	/**
	 * @param engine - Id of an engine.
	 * @returns Whether an attempt waits for something from it.
	 */
	isAwaited(engine: string): boolean {
		return this.#silences.isAwaited(engine);
	}

	/**
	 * @param service - Service.
	 * @param isQueued - Whether it is about a request that may wait for its turn at an engine that sends to others.
	 * @returns Whether what its engines have held back together has arrived by now.
	 */
	isSettled(service: string, isQueued: boolean): boolean {
		return this.#silences.isSettled(service, this.#options.clock.now(), isQueued);
	}

	/**
	 * @param service - Service.
	 * @returns What its engines do; recent, as all answers in progress may ask at once.
	 */
	view(service: string): SilenceView {
		const now = this.#options.clock.now();
		const cached = this.#views.get(service);
		if (cached !== undefined && now - cached.at < viewMs) {
			return cached.view;
		}

		const view = this.#silences.view(service, now);
		this.#views.set(service, {view, at: now});
		return view;
	}

	/** A host that tunnels lead over isn't to blame for the silence of most engines. */
	#noteUnanswered(attempt: Attempt, upstream: GatewayUpstream, isFirst: boolean): void {
		if (isFirst && (attempt.tunnel === undefined || !this.view(upstream.service).isCommon)) {
			this.#options.tunnels.noteUnanswered(upstream, attempt.tunnel);
		}
	}
}
