/** What one host knows of silent engines in virtual time: the product's decisions, and its checks of engines. */
import {type Random} from '../../src/core/index.js';
import {Silences, silenceMs, type SilenceView} from '../../src/core/gateway/health/silences.js';
import {predictionFactor} from '../../src/core/gateway/health/stall-times.js';
import {type GatewayUpstream} from '../../src/core/gateway/types.js';
import {type Timeline} from '../model/timeline.js';

/** Time in milliseconds for the answer to a check, and most checks at once. */
const answerMs = 300;
const maxChecks = 3;

export type SilenceWatchOptions = {
	readonly timeline: Timeline;
	readonly random: Random;
	readonly forecastIterationTime: (upstream: string) => number;
	/** Returns when the answer to a check that is sent now arrives; infinite if it never does. */
	readonly computeAnswerTime: (upstream: GatewayUpstream) => number;
	/** Called with each engine that sends something. */
	readonly onLife: (upstream: GatewayUpstream) => void;
};

export class SilenceWatch<Attempt> {
	readonly #options: SilenceWatchOptions;
	readonly #silences: Silences<Attempt>;
	readonly #pending = new Set<string>();

	/**
	 * @param options - Time, and what the host knows of engines.
	 */
	constructor(options: SilenceWatchOptions) {
		this.#options = options;
		this.#silences = new Silences(options.forecastIterationTime);
	}

	get #now(): number {
		return this.#options.timeline.now;
	}

	/** What engines do now. */
	view(service: string): SilenceView {
		return this.#silences.view(service, this.#now);
	}

	/** Expects the first event of an attempt that is sent now; `predicted` is in milliseconds. */
	expectFirst(attempt: Attempt, upstream: GatewayUpstream, predicted: number): void {
		this.#silences.expect(attempt, upstream, this.#now + (predicted * predictionFactor) + silenceMs);
	}

	/** Records an event of an attempt and expects the next one. */
	recordEvent(attempt: Attempt, upstream: GatewayUpstream): void {
		this.#silences.expect(attempt, upstream, this.#now + silenceMs);
		this.#recordLife(upstream);
	}

	/** Expects nothing more of an attempt that has ended. */
	end(attempt: Attempt): void {
		this.#silences.end(attempt);
	}

	/**
	 * @param upstream - Engine of an attempt that should get a successor.
	 * @param candidates - Engines that could take it.
	 * @returns What engines do, if some engine is live and what they have held back has arrived; otherwise undefined.
	 */
	findLive(upstream: GatewayUpstream, candidates: readonly GatewayUpstream[]): SilenceView | undefined {
		const {service} = upstream;
		const view = this.view(service);
		if (view.live.size === 0) {
			this.#silences.recordStranded(service, this.#now);
			this.ask(candidates);
			return undefined;
		}

		return this.#silences.isSettled(service, this.#now, !view.silent.has(upstream.id)) ? view : undefined;
	}

	/**
	 * Asks some engines for a sign of life that neither are silent nor have sent anything lately.
	 *
	 * @param candidates - Engines.
	 */
	ask(candidates: readonly GatewayUpstream[]): void {
		const free = candidates.filter(({id, service}) => {
			const {silent, live} = this.view(service);
			return !this.#pending.has(id) && !silent.has(id) && !live.has(id);
		});
		while (free.length > 0 && this.#pending.size < maxChecks) {
			const [drawn] = free.splice(this.#options.random.integer(0, free.length - 1), 1);
			this.#check(drawn!);
		}
	}

	#check(upstream: GatewayUpstream): void {
		const {timeline, computeAnswerTime} = this.#options;
		const answeredAt = computeAnswerTime(upstream);
		const timeoutAt = timeline.now + answerMs;
		this.#pending.add(upstream.id);
		timeline.schedule(Math.min(answeredAt, timeoutAt), () => {
			this.#pending.delete(upstream.id);
			if (answeredAt > timeoutAt) {
				this.#silences.recordFailedCheck(upstream, timeline.now);
			}
		});
		timeline.schedule(answeredAt, () => {
			this.#recordLife(upstream);
		});
	}

	#recordLife(upstream: GatewayUpstream): void {
		this.#silences.recordLife(upstream, this.#now);
		this.#options.onLife(upstream);
	}
}
