/** What runs at each upstream, as far as this host knows: its own requests and those that its peers tell of. */
import {footprint, estimateDecodeIteration} from './engine.js';
import {usualUrgency} from './urgency.js';
import {estimateSlotWait, type Occupant} from './queue.js';
import {type EngineModel} from './types.js';

/** Which placing of its request a sending is: the first, one after others that reached no upstream, or one more after an upstream got it. */
export type Placing = 'first' | 'retry' | 'unreached before';

/** One sending of a request. Times are on this host's monotonic clock, in milliseconds. */
export type Job = {
	/** Unique over all hosts. */
	readonly id: string;
	/** Host that sent it. */
	readonly host: string;
	/** The upstream that answers. */
	readonly upstream: string;
	/** Engines that read a part of the prompt. */
	readonly helpers: readonly string[];
	readonly prompt: number;
	readonly answer: number;
	/** Whether the prompt's memory lies in holds at the upstream and the helpers alike. */
	readonly isHeld: boolean;
	/** Time that each engine reads, and the longest part of it within one pass. */
	readonly read: number;
	readonly readPerPass: number;
	readonly pause?: number;
	/** Rank in the queue of the upstream, 0 first. */
	readonly urgency?: number;
	readonly weight: number;
	readonly placing: Placing;
	readonly began: number;
	/** When its first byte is due. */
	readonly due: number;
	/** It is over by then in any case. */
	readonly deadline: number;
	readonly firstByte?: number;
};

/** What an engine is expected to do next. */
export type Forecast = {
	/** Requests being read or written there, those of helpers excluded. */
	readonly requests: number;
	readonly decoding: readonly Job[];
	/** Prompts that are read there, in part or whole. */
	readonly readers: readonly Job[];
	/** Milliseconds of reading that stand before a new prompt. */
	readonly backlog: number;
	/** Milliseconds of a pass that reads nothing; 0 where nothing is written. */
	readonly pass: number;
	/** Milliseconds until a place in its batch is free. */
	readonly slotWait: number;
	/** Tokens of memory that are not spoken for. */
	readonly freeMemory: number;
};

/** For whom a forecast is made. */
export type ForecastOptions = {
	/** Rank in the queue of the request that might come. */
	readonly urgency?: number;
	/** Job that is left out, as if it had not been sent. */
	readonly excludedJob?: string;
};

/** What an engine has, beside the jobs themselves. */
type EngineState = {
	readonly jobs: Map<string, Job>;
	/** When the reading that is known of will be done. */
	prefillUntil: number;
};

/** A reading that takes longer than predicted is taken to need this much more, in milliseconds. */
const prefillOverrunMs = 20;

/** Deadlines of peers' requests pass a little later here: clocks and messages differ, in milliseconds. */
const expiryMarginMs = 500;

/** Milliseconds that the end of a job is remembered: news of its beginning may come later over another way. */
const endedJobRetentionMs = 2000;

/** Requests at upstreams. */
export class Load {
	readonly #jobs = new Map<string, Job>();
	/** When jobs ended, the oldest first. */
	readonly #ended = new Map<string, number>();
	readonly #engines = new Map<string, EngineState>();

	/** Jobs known of. */
	get size(): number {
		return this.#jobs.size;
	}

	/** All jobs known of. */
	get all(): readonly Job[] {
		return [...this.#jobs.values()];
	}

	/**
	 * @param id - Job.
	 * @returns The job, while it runs.
	 */
	job(id: string): Job | undefined {
		return this.#jobs.get(id);
	}

	/**
	 * @param id - Job.
	 * @returns Whether it runs or was over a moment ago.
	 */
	isKnown(id: string): boolean {
		return this.#jobs.has(id) || this.#ended.has(id);
	}

	/**
	 * @param host - Host.
	 * @returns The jobs that it sent.
	 */
	jobsOf(host: string): readonly Job[] {
		return this.all.filter(job => job.host === host);
	}

	/**
	 * @param job - Job.
	 * @returns Jobs of other hosts at the engines that answer it or help to read it.
	 */
	companions(job: Job): readonly Job[] {
		return enginesOf(job)
			.flatMap(engine => [...this.#engines.get(engine)?.jobs.values() ?? []])
			.filter(each => each.host !== job.host);
	}

	/**
	 * @param upstream - Upstream.
	 * @returns Requests that it has, those it only helps to read excluded.
	 */
	requests(upstream: string): number {
		let count = 0;
		for (const job of this.#engines.get(upstream)?.jobs.values() ?? []) {
			count += job.upstream === upstream ? 1 : 0;
		}

		return count;
	}

	/**
	 * Takes a job; one that is known or was over already changes nothing, as news may come over two ways.
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
				state.prefillUntil = Math.max(state.prefillUntil, now) + job.read;
			}
		}
	}

	/**
	 * @param id - Job whose first byte has come.
	 * @param now - Time.
	 */
	progress(id: string, now: number): void {
		const job = this.#jobs.get(id);
		if (job === undefined || job.firstByte !== undefined) {
			return;
		}

		const next: Job = {...job, firstByte: now};
		this.#jobs.set(id, next);
		for (const engine of enginesOf(job)) {
			const state = this.#engineState(engine);
			state.jobs.set(id, next);
			shortenPrefillBacklog(state, now);
		}
	}

	/**
	 * @param id - Job that is over.
	 * @param now - Time.
	 */
	end(id: string, now: number): void {
		this.#ended.set(id, now);
		this.#remove(id, now);
	}

	/**
	 * Forgets the jobs of a host that has restarted or is gone.
	 *
	 * @param host - Host.
	 * @param now - Time.
	 */
	forgetHost(host: string, now: number): void {
		for (const job of this.jobsOf(host)) {
			this.#remove(job.id, now);
		}
	}

	/**
	 * Forgets what ran at an upstream that has restarted.
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
	 * Forgets jobs of others that must be over: their host may be cut off or gone.
	 *
	 * @param now - Time.
	 */
	expire(now: number): void {
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
	 * @param model - Its figures.
	 * @param now - Time.
	 * @param view - Whose view it is.
	 * @returns What it is expected to do next.
	 */
	forecast(upstream: string, model: EngineModel, now: number, {urgency = usualUrgency, excludedJob}: ForecastOptions = {}): Forecast {
		const state = this.#engines.get(upstream);
		if (state === undefined) {
			return {
				requests: 0, decoding: [], readers: [], backlog: 0, pass: 0, slotWait: 0, freeMemory: model.memory,
			};
		}

		const decoding: Job[] = [];
		const readers: Job[] = [];
		const contexts: number[] = [];
		const occupants: Occupant[] = [];
		let freeMemory = model.memory;
		let {prefillUntil} = state;
		for (const job of state.jobs.values()) {
			if (job.id === excludedJob) {
				prefillUntil -= job.firstByte === undefined ? job.read : 0;
				continue;
			}

			if (job.upstream === upstream) {
				occupants.push({decodeTime: job.firstByte === undefined ? undefined : now - job.firstByte, urgency: job.urgency ?? usualUrgency});
			}

			freeMemory -= memoryAt(job, upstream, model);
			if (job.firstByte === undefined) {
				readers.push(job);
				continue;
			}

			contexts.push(contextAt(job, upstream));
			if (job.upstream === upstream) {
				decoding.push(job);
			}
		}

		const minBacklog = readers.length === 0 ? 0 : prefillOverrunMs;
		const pass = contexts.length === 0 ? 0 : estimateDecodeIteration(model, contexts);
		return {
			requests: occupants.length,
			decoding,
			readers,
			backlog: Math.max(prefillUntil - now, minBacklog),
			pass,
			slotWait: estimateSlotWait(model, occupants, pass, urgency),
			freeMemory,
		};
	}

	#remove(id: string, now: number): void {
		const job = this.#jobs.get(id);
		if (job === undefined) {
			return;
		}

		this.#jobs.delete(id);
		for (const engine of enginesOf(job)) {
			const state = this.#engineState(engine);
			state.jobs.delete(id);
			if (state.jobs.size === 0) {
				this.#engines.delete(engine);
			} else if (job.firstByte === undefined) {
				shortenPrefillBacklog(state, now);
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

/** What is read there now that one reading less is known of: nothing, or what the others need at most. */
function shortenPrefillBacklog(state: EngineState, now: number): void {
	let remaining = 0;
	for (const job of state.jobs.values()) {
		remaining += job.firstByte === undefined ? job.read : 0;
	}

	state.prefillUntil = Math.min(state.prefillUntil, now + remaining);
}

function memoryAt(job: Job, upstream: string, model: EngineModel): number {
	const whole = footprint(model, job.prompt, job.answer);
	if (job.isHeld) {
		return whole / (job.helpers.length + 1);
	}

	return job.upstream === upstream ? whole : 0;
}

function contextAt(job: Job, upstream: string): number {
	if (job.isHeld) {
		return job.prompt / (job.helpers.length + 1);
	}

	return job.upstream === upstream ? job.prompt : 0;
}
