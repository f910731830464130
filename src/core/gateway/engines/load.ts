/** Tracks the jobs at each upstream, from this host and from the load updates of its peers, and forecasts engine load from them. */
import {type EngineModel} from '../types.js';
import {forecastEngine, type Forecast, type ForecastOptions} from './forecast.js';
import {listEngines, type Job} from './job.js';
import {configuredPace, type Pace, type PaceFinder} from './paces.js';

export {memoryAt, type Job, type PlacementKind} from './job.js';
export {type Forecast} from './forecast.js';

/** Returns the tokens of KV memory that unknown jobs may take at an engine, given the number of known ones that it answers. */
export type UnknownMemoryEstimator = (upstream: string, model: EngineModel, known: number) => number;

type EngineState = {
	readonly jobs: Map<string, Job>;
	/** When the prefill of all known jobs is expected to be done. */
	prefillUntil: number;
};

/** Tolerance for clock differences and message delays between hosts, in milliseconds. */
const expiryMarginMs = 500;

/** How long ended jobs are remembered, in milliseconds: a delayed load update may still report their start. */
const endedJobRetentionMs = 2000;

/** Jobs at upstreams. Times are monotonic, in milliseconds. */
export class Load {
	readonly #jobs = new Map<string, Job>();
	/** End times of jobs, the oldest first. */
	readonly #ended = new Map<string, number>();
	readonly #engines = new Map<string, EngineState>();
	readonly #findPace: PaceFinder;
	readonly #estimateUnknownMemory: UnknownMemoryEstimator;
	#removals = 0;

	/**
	 * @param findPace - Finds the pace of an engine.
	 * @param estimateUnknownMemory - Estimates the memory that jobs of other hosts take which this host doesn't receive.
	 */
	constructor(findPace: PaceFinder = () => configuredPace, estimateUnknownMemory: UnknownMemoryEstimator = () => 0) {
		this.#findPace = findPace;
		this.#estimateUnknownMemory = estimateUnknownMemory;
	}

	/** Number of known jobs. */
	get size(): number {
		return this.#jobs.size;
	}

	/** All known jobs. */
	get all(): readonly Job[] {
		return [...this.#jobs.values()];
	}

	/**
	 * @param id - Job.
	 * @returns The job, or undefined if it is unknown or has ended.
	 */
	get(id: string): Job | undefined {
		return this.#jobs.get(id);
	}

	/**
	 * @param id - Job.
	 * @returns Whether the job is running or ended recently.
	 */
	isKnown(id: string): boolean {
		return this.#jobs.has(id) || this.#ended.has(id);
	}

	/**
	 * @param host - Host.
	 * @returns The jobs that the host sent.
	 */
	findJobsOfHost(host: string): readonly Job[] {
		return this.all.filter(job => job.host === host);
	}

	/**
	 * @param job - Job.
	 * @returns Jobs of other hosts at the same engines, helpers included.
	 */
	findJobsOfOtherHosts(job: Job): readonly Job[] {
		return listEngines(job)
			.flatMap(engine => [...this.#engines.get(engine)?.jobs.values() ?? []])
			.filter(each => each.host !== job.host);
	}

	/**
	 * @param upstream - Upstream.
	 * @returns Number of jobs that it answers; jobs that it only helps to prefill are excluded.
	 */
	countRequests(upstream: string): number {
		let count = 0;
		for (const job of this.#engines.get(upstream)?.jobs.values() ?? []) {
			count += job.upstream === upstream ? 1 : 0;
		}

		return count;
	}

	/**
	 * @param upstream - Upstream.
	 * @returns Jobs that it answers or helps with.
	 */
	findJobsAt(upstream: string): readonly Job[] {
		return [...this.#engines.get(upstream)?.jobs.values() ?? []];
	}

	/** Number of jobs that have ended or were removed since the start, which shows whether resources have become free. */
	get removals(): number {
		return this.#removals;
	}

	/**
	 * Adds a job. Ignores a job that is known or ended recently, since load updates may arrive twice or out of order.
	 *
	 * @param job - Job that was sent.
	 * @param now - Time.
	 */
	begin(job: Job, now: number): void {
		if (this.isKnown(job.id)) {
			return;
		}

		this.#jobs.set(job.id, job);
		for (const engine of listEngines(job)) {
			const state = this.#engineState(engine);
			state.jobs.set(job.id, job);
			if (job.firstByte === undefined) {
				state.prefillUntil = Math.max(state.prefillUntil, now) + (job.read / this.#findPace(engine, now).prefill);
			}
		}
	}

	/**
	 * @param id - Job whose first byte has arrived.
	 * @param now - Time.
	 */
	recordFirstByte(id: string, now: number): void {
		const job = this.#jobs.get(id);
		if (job === undefined || job.firstByte !== undefined) {
			return;
		}

		const next: Job = {...job, firstByte: now};
		this.#jobs.set(id, next);
		for (const engine of listEngines(job)) {
			const state = this.#engineState(engine);
			state.jobs.set(id, next);
			shortenPrefillBacklog(state, now, this.#findPace(engine, now));
		}
	}

	/**
	 * @param id - Job that has ended.
	 * @param now - Time.
	 */
	end(id: string, now: number): void {
		this.#ended.set(id, now);
		this.#remove(id, now);
	}

	/**
	 * Removes the jobs of a host that has restarted, failed or left.
	 *
	 * @param host - Host.
	 * @param now - Time.
	 */
	forgetHost(host: string, now: number): void {
		for (const job of this.findJobsOfHost(host)) {
			this.#remove(job.id, now);
		}
	}

	/**
	 * Removes the jobs that an upstream answered before it restarted.
	 *
	 * @param upstream - Upstream.
	 * @param now - Time.
	 */
	forgetUpstream(upstream: string, now: number): void {
		for (const job of this.#engines.get(upstream)?.jobs.values() ?? []) {
			if (job.upstream === upstream) {
				this.#remove(job.id, now);
			}
		}
	}

	/**
	 * Removes jobs that are past their deadline: the host that would report their end may be unreachable or dead.
	 *
	 * @param now - Time.
	 */
	removeExpired(now: number): void {
		for (const job of this.#jobs.values()) {
			if (job.deadline + expiryMarginMs < now) {
				this.#remove(job.id, now);
			}
		}

		for (const [id, at] of this.#ended) {
			if (at + endedJobRetentionMs > now) {
				break;
			}

			this.#ended.delete(id);
		}
	}

	/**
	 * @param upstream - Engine.
	 * @param model - Performance model of the engine.
	 * @param now - Time.
	 * @param options - Request that the forecast is made for.
	 * @returns The expected state of the engine.
	 */
	forecast(upstream: string, model: EngineModel, now: number, options: ForecastOptions = {}): Forecast {
		const forecast = forecastEngine(this.#engines.get(upstream), {upstream, model, pace: this.#findPace(upstream, now)}, now, options);
		const unknownMemory = this.#estimateUnknownMemory(upstream, model, forecast.requests);
		return unknownMemory === 0 ? forecast : {...forecast, freeMemory: forecast.freeMemory - unknownMemory};
	}

	#remove(id: string, now: number): void {
		const job = this.#jobs.get(id);
		if (job === undefined) {
			return;
		}

		this.#removals++;
		this.#jobs.delete(id);
		for (const engine of listEngines(job)) {
			const state = this.#engineState(engine);
			state.jobs.delete(id);
			if (state.jobs.size === 0) {
				this.#engines.delete(engine);
			} else if (job.firstByte === undefined) {
				shortenPrefillBacklog(state, now, this.#findPace(engine, now));
			}
		}
	}

	#engineState(upstream: string): EngineState {
		const known = this.#engines.get(upstream) ?? {jobs: new Map<string, Job>(), prefillUntil: 0};
		this.#engines.set(upstream, known);
		return known;
	}
}

/** Limits the prefill backlog to what the remaining jobs need, after a prefill has ended or was removed. */
function shortenPrefillBacklog(state: EngineState, now: number, {prefill: pace}: Pace): void {
	let remaining = 0;
	for (const job of state.jobs.values()) {
		remaining += job.firstByte === undefined ? job.read / pace : 0;
	}

	state.prefillUntil = Math.min(state.prefillUntil, now + remaining);
}
