/** Measures the pace of an engine during one attempt, from the arrival times of its events. */
import {type Placement} from '../placement/placement.js';
import {type EngineModel, type Prompt} from '../types.js';
import {estimateDecodeIteration, estimatePrefill} from './engine.js';
import {type Forecast, type Load} from './load.js';
import {overheadMs} from './losses.js';
import {configuredPace, maxPace, type PaceSample} from './paces.js';
import {minSampleMs, type ShortPrefills} from './short-prefills.js';

/** Least share of the predicted time to the first event that a prefill makes up if the pace of prefills is derived from it alone. */
const minPrefillShare = 0.75;

/** Variance of a time that is uniform between 0 and 1: the rest of the iteration that runs when a prompt arrives, in iterations. */
const uniformVariance = 1 / 12;

/** Largest ratio of the bounds of an iteration for which a time between them is used. */
const maxUncertainty = 1.3;

/** Delay of timers and of reading on a busy host in milliseconds: smaller differences are not attributed to the engine. */
const timingErrorMs = 15;

/** Shortest time between two events in milliseconds: closer ones were delivered together. */
const minGapMs = 1;

export type PaceSamplerOptions = {
	readonly load: Load;
	/** Prefills of short prompts that this host has measured lately. */
	readonly shortPrefills: ShortPrefills;
	readonly model: EngineModel;
	readonly prompt: Prompt;
	readonly placement: Placement;
	/** Id of the request's job. */
	readonly job: string;
	/** When the request was sent; monotonic, in milliseconds. */
	readonly sent: number;
};

/** Bounds of the configured time of an engine iteration in milliseconds. */
type IterationBounds = {
	readonly shortest: number;
	readonly longest: number;
};

/** First event of a short prompt at an engine whose state was predictable. Times are in milliseconds. */
type ShortPrompt = {
	readonly at: number;
	/** Configured time of an iteration when the prompt was sent; 0 if the engine was idle. */
	readonly iteration: number;
};

export class PaceSampler {
	readonly #options: PaceSamplerOptions;
	/** Configured time of an engine iteration before a short prompt; undefined if the prompt is long or has to wait for others. */
	readonly #initialIteration: number | undefined;
	/** Jobs at the engine that were known when the request was sent. */
	readonly #knownJobs: ReadonlySet<string>;
	#shortPrompt: ShortPrompt | undefined;
	#last: {readonly at: number; readonly times: IterationBounds} | undefined;
	#isDelayed = false;

	/**
	 * @param options - Attempt that is measured.
	 */
	constructor(options: PaceSamplerOptions) {
		this.#options = options;
		this.#knownJobs = new Set(options.load.findJobsAt(options.placement.upstream.id).map(({id}) => id));
		this.#initialIteration = this.#findInitialIteration();
	}

	/**
	 * @param now - Arrival of events.
	 * @returns The engine's pace as it follows from them, or from them and other short prompts, if it does.
	 */
	noteEvents(now: number): PaceSample | undefined {
		const {load, model, placement} = this.#options;
		const upstream = placement.upstream.id;
		const forecast = load.forecast(upstream, model, now);
		const previous = this.#last;
		const wasDelayed = this.#isDelayed;
		this.#isDelayed = false;
		const times = this.#estimateIteration(forecast);
		this.#last = {at: now, times};
		if (previous === undefined) {
			this.#shortPrompt = this.#initialIteration === undefined ? undefined : {at: now, iteration: this.#initialIteration};
			return this.#measurePrefill(now);
		}

		const shortPrefills = wasDelayed ? undefined : this.#measureShortPrefill(forecast, now);
		this.#shortPrompt = undefined;
		if (shortPrefills !== undefined) {
			return shortPrefills;
		}

		const shortest = Math.min(times.shortest, previous.times.shortest);
		const longest = Math.max(times.longest, previous.times.longest);
		const measured = now - previous.at;
		const isAsConfigured = measured >= shortest - timingErrorMs && measured <= longest + timingErrorMs;
		const configured = isAsConfigured ? measured : Math.min(Math.max(measured, shortest), longest);
		const tellsNothing = isAsConfigured && longest > shortest * maxUncertainty;
		return wasDelayed || measured < minGapMs || tellsNothing
			? undefined
			: {
				upstream, phase: 'decode', configured, measured, at: now,
			};
	}

	/** Notes that the stream waits for its caller: its next events may have arrived before they are read. */
	noteDelay(): void {
		this.#isDelayed = true;
	}

	/** Bounds the engine's iterations: the load of prompts that several engines share, and how far prefills are, is known only roughly. */
	#estimateIteration({contexts, decoding, prefilling}: Forecast): IterationBounds {
		const {model, job, prompt, placement} = this.#options;
		const own = prefilling.some(each => each.id === job) ? [prompt.tokens] : [];
		const certain = decoding.filter(each => each.helpers.length === 0).map(each => each.prompt);
		let prefill = 0;
		for (const each of prefilling) {
			prefill += each.id === job ? 0 : each.readPerPass;
		}

		return {
			shortest: estimateDecodeIteration(model, placement.helpers.length === 0 ? [...certain, ...own] : certain),
			longest: estimateDecodeIteration(model, [...contexts, ...own]) + prefill,
		};
	}

	/** The queue and the backlog are subtracted as they were forecast, and the iteration that generates the first event. */
	#measurePrefill(now: number): PaceSample | undefined {
		const {model, placement, prompt, sent} = this.#options;
		if (this.#isDisturbed()) {
			return undefined;
		}

		const {firstByte, helpers, pace = configuredPace, upstream} = placement;
		const configured = estimatePrefill(model, prompt.tokens).total;
		const predicted = configured / pace.prefill;
		if (helpers.length > 0 || configured < minSampleMs || predicted < firstByte * minPrefillShare) {
			return undefined;
		}

		const firstIteration = estimateDecodeIteration(model, [prompt.tokens]) / pace.decode;
		const prefill = now - sent - firstIteration;
		// The queue may have been shorter than forecast: an engine is fast only if it was faster than without any.
		const measured = Math.max(prefill - (firstByte - predicted), Math.min(prefill, configured), configured / maxPace);
		return {
			upstream: upstream.id, phase: 'prefill', configured, measured, at: now,
		};
	}

	/**
	 * The time between the first two events is that of the iteration that generates an event. What else passed until the first event is the
	 * prefill, and the rest of an iteration and a whole one if the engine was decoding.
	 */
	#measureShortPrefill(forecast: Forecast, now: number): PaceSample | undefined {
		const {model, placement: {upstream}, prompt, sent, shortPrefills} = this.#options;
		const first = this.#shortPrompt;
		if (first === undefined || forecast.prefilling.length > 0 || now - first.at < minGapMs || this.#isDisturbed()) {
			return undefined;
		}

		// At an engine that decodes, the prefill is a part of the iteration and adds no steps to it.
		const configured = estimatePrefill(model, prompt.tokens).total - (first.iteration > 0 ? Math.ceil(prompt.tokens / model.chunk) * model.step : 0);
		const iteration = now - first.at;
		const expectedIteration = estimateDecodeIteration(model, forecast.contexts);
		const initialIteration = first.iteration * iteration / expectedIteration;
		const remaining = first.at - sent - (initialIteration * 1.5) - iteration;
		// A prefill that isn't known here may have lengthened the iteration, so that too little remains: that makes no fast engine.
		const isLengthened = iteration > (expectedIteration / forecast.pace.decode * maxUncertainty) + timingErrorMs;
		const measured = isLengthened ? Math.max(remaining, configured) : remaining;
		return shortPrefills.add({
			upstream: upstream.id,
			configured,
			measured: measured - Math.min(Math.max(measured - configured, 0), overheadMs),
			variance: uniformVariance * (initialIteration ** 2),
			at: now,
		});
	}

	#findInitialIteration(): number | undefined {
		const {load, model, placement: {upstream, helpers}, prompt, sent, job} = this.#options;
		if (helpers.length > 0 || estimatePrefill(model, prompt.tokens).total >= minSampleMs) {
			return undefined;
		}

		const {prefilling, slotWait, iteration, pace} = load.forecast(upstream.id, model, sent, {excludedJob: job});
		return prefilling.length > 0 || slotWait > 0 ? undefined : iteration * pace.decode;
	}

	/**
	 * Returns whether the engine prefilled another job, as its upstream or helper, since this one was sent, or has one that was not known then:
	 * load updates may take longer than the time between two requests.
	 */
	#isDisturbed(): boolean {
		const {load, job, placement, sent} = this.#options;
		return load.findJobsAt(placement.upstream.id).some(({id, began, firstByte = began}) => id !== job && (firstByte >= sent || !this.#knownJobs.has(id)));
	}
}
