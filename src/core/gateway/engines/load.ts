/** Tracks the jobs at each upstream, from this host and from the load updates of its peers, and forecasts engine load from them. */
import {type EngineModel} from '../types.js';
import {computePartMemory, footprint, estimateDecodeIteration} from './engine.js';
import {defaultUrgency} from './urgency.js';
import {configuredPace, type Pace, type PaceFinder} from './paces.js';
import {estimateSlotWait, type Occupant} from './queue.js';

/** Kind of placement: the request's first, a retry after an upstream received it, or one after attempts that reached no upstream. */
export type PlacementKind = 'first' | 'retry' | 'unreached before';

/** One attempt of a request at an upstream. Times are on this host's monotonic clock, in milliseconds. */
export type Job = {
	/** Unique over all hosts. */
	readonly id: string;
	/** Host that sent the request. */
	readonly host: string;
	/** Upstream that answers. */
	readonly upstream: string;
	/** Other engines that prefill a part of the prompt. */
	readonly helpers: readonly string[];
	/** Length of the prompt and maximum length of the answer, in tokens. */
	readonly prompt: number;
	readonly answer: number;
	/** Whether the memory of the request is split evenly into holds at the upstream and the helpers. */
	readonly isHeld: boolean;
	/** Prefill time at each of the engines, at the speed that its configuration states. */
	readonly read: number;
	/** Longest part of the prefill within one engine iteration. */
	readonly readPerPass: number;
	/** Longest pause between events that meets the latency target, if there is one for pauses. */
	readonly pause?: number;
	/** Rank in the queue of the upstream; 0 is first. */
	readonly urgency?: number;
	/** How much the request counts, relative to a usual one. */
	readonly weight: number;
	readonly placing: PlacementKind;
	/** Tag of the organisation that the request counts toward; only set on the first job of a request. */
	readonly organisation?: string;
	/** Whether the request is delayed because the upstreams of its service are full. */
	readonly isDelayed?: boolean;
	/** Whether every host receives the job, also those outside the group of its upstream; set if the host that sent it says so. */
	readonly isForAll?: boolean;
	readonly began: number;
	/** When the first byte is due. */
	readonly due: number;
	/** When the request times out. */
	readonly deadline: number;
	readonly firstByte?: number;
};

/** Expected state of an engine. */
export type Forecast = {
	/** Jobs that the engine answers, waiting ones included; jobs that it only helps to prefill are excluded. */
	readonly requests: number;
	/** Jobs that the engine is decoding. */
	readonly decoding: readonly Job[];
	/** Jobs whose prompt, or a part of it, the engine prefills. */
	readonly prefilling: readonly Job[];
	/** Milliseconds of prefill ahead of a new prompt. */
	readonly backlog: number;
	/** Milliseconds of an engine iteration without prefill; 0 if nothing is decoding. */
	readonly iteration: number;
	/** Milliseconds until a slot in the batch is free. */
	readonly slotWait: number;
	/** KV memory in tokens that no job needs. */
	readonly freeMemory: number;
	/** Context lengths in tokens of the jobs that the engine decodes. */
	readonly contexts: readonly number[];
	/** Pace by which the times above are predicted. */
	readonly pace: Pace;
	/** Milliseconds by which an iteration that decodes one new request exceeds the configured time; 0 unless the engine is slow. */
	readonly slowdown: number;
};

/** Returns the tokens of KV memory that unknown jobs may take at an engine, given the number of known ones that it answers. */
export type UnknownMemoryEstimator = (upstream: string, model: EngineModel, known: number) => number;

export type ForecastOptions = {
	/** Rank in the queue of the request that the forecast is made for. */
	readonly urgency?: number;
	/** Job to leave out, as if it had not been sent. */
	readonly excludedJob?: string;
};

type EngineState = {
	readonly jobs: Map<string, Job>;
	/** When the prefill of all known jobs is expected to be done. */
	prefillUntil: number;
};

/** Remaining time, in milliseconds, that is assumed for a prefill that takes longer than predicted. */
const prefillOverrunMs = 20;

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
		return enginesOf(job)
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
		for (const engine of enginesOf(job)) {
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
		for (const engine of enginesOf(job)) {
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
	forecast(upstream: string, model: EngineModel, now: number, {urgency = defaultUrgency, excludedJob}: ForecastOptions = {}): Forecast {
		const state = this.#engines.get(upstream);
		const pace = this.#findPace(upstream, now);
		const slowdown = pace.decode < 1 ? estimateDecodeIteration(model, [0]) * ((1 / pace.decode) - 1) : 0;
		if (state === undefined) {
			const freeMemory = model.memory - this.#estimateUnknownMemory(upstream, model, 0);
			return {
				requests: 0, decoding: [], prefilling: [], backlog: 0, iteration: 0, slotWait: 0, freeMemory, contexts: [], pace, slowdown,
			};
		}

		const decoding: Job[] = [];
		const prefilling: Job[] = [];
		const contexts: number[] = [];
		const occupants: Occupant[] = [];
		let freeMemory = model.memory;
		let {prefillUntil} = state;
		for (const job of state.jobs.values()) {
			if (job.id === excludedJob) {
				prefillUntil -= job.firstByte === undefined ? job.read / pace.prefill : 0;
				continue;
			}

			if (job.upstream === upstream) {
				occupants.push({decodeTime: job.firstByte === undefined ? undefined : now - job.firstByte, urgency: job.urgency ?? defaultUrgency});
			}

			freeMemory -= memoryAt(job, upstream, model);
			if (job.firstByte === undefined) {
				prefilling.push(job);
				continue;
			}

			contexts.push(contextAt(job, upstream));
			if (job.upstream === upstream) {
				decoding.push(job);
			}
		}

		const minBacklog = prefilling.length === 0 ? 0 : prefillOverrunMs;
		const iteration = contexts.length === 0 ? 0 : estimateDecodeIteration(model, contexts) / pace.decode;
		return {
			requests: occupants.length,
			decoding,
			prefilling,
			backlog: Math.max(prefillUntil - now, minBacklog),
			iteration,
			slotWait: estimateSlotWait(model, occupants, iteration, urgency),
			freeMemory: freeMemory - this.#estimateUnknownMemory(upstream, model, occupants.length),
			contexts,
			pace,
			slowdown,
		};
	}

	#remove(id: string, now: number): void {
		const job = this.#jobs.get(id);
		if (job === undefined) {
			return;
		}

		this.#removals++;
		this.#jobs.delete(id);
		for (const engine of enginesOf(job)) {
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

function enginesOf(job: Job): readonly string[] {
	return [job.upstream, ...job.helpers];
}

/** Limits the prefill backlog to what the remaining jobs need, after a prefill has ended or was removed. */
function shortenPrefillBacklog(state: EngineState, now: number, {prefill: pace}: Pace): void {
	let remaining = 0;
	for (const job of state.jobs.values()) {
		remaining += job.firstByte === undefined ? job.read / pace : 0;
	}

	state.prefillUntil = Math.min(state.prefillUntil, now + remaining);
}

/**
 * @param job - Job.
 * @param upstream - Engine that answers it or helps with it.
 * @param model - Performance model of the engine.
 * @returns KV memory in tokens that the job takes there.
 */
export function memoryAt(job: Job, upstream: string, model: EngineModel): number {
	const whole = footprint(model, job.prompt, job.answer);
	if (job.isHeld) {
		return computePartMemory(model, whole, job.helpers.length + 1);
	}

	return job.upstream === upstream ? whole : 0;
}

function contextAt(job: Job, upstream: string): number {
	if (job.isHeld) {
		return job.prompt / (job.helpers.length + 1);
	}

	return job.upstream === upstream ? job.prompt : 0;
}
