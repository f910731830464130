/** What runs at each upstream, as far as this host knows: its own requests and those that its peers tell of. */
import {footprint, writingPass} from './engine.js';
import {usualUrgency} from './urgency.js';
import {placeWait, type Occupant} from './queue.js';
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
	readonly writers: readonly Job[];
	/** Prompts that are read there, in part or whole. */
	readonly readers: readonly Job[];
	/** Milliseconds of reading that stand before a new prompt. */
	readonly backlog: number;
	/** Milliseconds of a pass that reads nothing; 0 where nothing is written. */
	readonly pass: number;
	/** Milliseconds until a place in its batch is free. */
	readonly placeWait: number;
	/** Tokens of memory that are not spoken for. */
	readonly free: number;
};

/** For whom a forecast is made. */
export type View = {
	/** Rank in the queue of the request that might come. */
	readonly urgency?: number;
	/** Job that is left out, as if it had not been sent. */
	readonly except?: string;
};

/** What an engine has, beside the jobs themselves. */
type Shelf = {
	readonly jobs: Map<string, Job>;
	/** When the reading that is known of will be done. */
	readsUntil: number;
};

/** A reading that takes longer than predicted is taken to need this much more, in milliseconds. */
const overrun = 20;

/** Deadlines of peers' requests pass a little later here: clocks and messages differ, in milliseconds. */
const expiryMargin = 500;

/** Milliseconds that the end of a job is remembered: news of its beginning may come later over another way. */
const endMemory = 2000;

/** Requests at upstreams. */
export class Load {
	readonly #jobs = new Map<string, Job>();
	/** When jobs ended, the oldest first. */
	readonly #ended = new Map<string, number>();
	readonly #shelves = new Map<string, Shelf>();

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
			.flatMap(engine => [...this.#shelves.get(engine)?.jobs.values() ?? []])
			.filter(each => each.host !== job.host);
	}

	/**
	 * @param upstream - Upstream.
	 * @returns Requests that it has, those it only helps to read excluded.
	 */
	requests(upstream: string): number {
		let count = 0;
		for (const job of this.#shelves.get(upstream)?.jobs.values() ?? []) {
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
			const shelf = this.#shelf(engine);
			shelf.jobs.set(job.id, job);
			if (job.firstByte === undefined) {
				shelf.readsUntil = Math.max(shelf.readsUntil, now) + job.read;
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
			const shelf = this.#shelf(engine);
			shelf.jobs.set(id, next);
			settle(shelf, now);
		}
	}

	/**
	 * @param id - Job that is over.
	 * @param now - Time.
	 */
	end(id: string, now: number): void {
		this.#ended.set(id, now);
		this.#drop(id, now);
	}

	/**
	 * Forgets the jobs of a host that has restarted or is gone.
	 *
	 * @param host - Host.
	 * @param now - Time.
	 */
	forgetHost(host: string, now: number): void {
		for (const job of this.jobsOf(host)) {
			this.#drop(job.id, now);
		}
	}

	/**
	 * Forgets what ran at an upstream that has restarted.
	 *
	 * @param upstream - Upstream.
	 * @param now - Time.
	 */
	forgetUpstream(upstream: string, now: number): void {
		for (const job of this.#shelves.get(upstream)?.jobs.values() ?? []) {
			if (job.upstream === upstream) {
				this.#drop(job.id, now);
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
			if (job.deadline + expiryMargin < now) {
				this.#drop(job.id, now);
			}
		}

		for (const [id, at] of this.#ended) {
			if (at + endMemory > now) {
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
	forecast(upstream: string, model: EngineModel, now: number, {urgency = usualUrgency, except}: View = {}): Forecast {
		const shelf = this.#shelves.get(upstream);
		if (shelf === undefined) {
			return {
				requests: 0, writers: [], readers: [], backlog: 0, pass: 0, placeWait: 0, free: model.memory,
			};
		}

		const writers: Job[] = [];
		const readers: Job[] = [];
		const contexts: number[] = [];
		const occupants: Occupant[] = [];
		let free = model.memory;
		let {readsUntil} = shelf;
		for (const job of shelf.jobs.values()) {
			if (job.id === except) {
				readsUntil -= job.firstByte === undefined ? job.read : 0;
				continue;
			}

			if (job.upstream === upstream) {
				occupants.push({writtenFor: job.firstByte === undefined ? undefined : now - job.firstByte, urgency: job.urgency ?? usualUrgency});
			}

			free -= memoryAt(job, upstream, model);
			if (job.firstByte === undefined) {
				readers.push(job);
				continue;
			}

			contexts.push(contextAt(job, upstream));
			if (job.upstream === upstream) {
				writers.push(job);
			}
		}

		const least = readers.length === 0 ? 0 : overrun;
		const pass = contexts.length === 0 ? 0 : writingPass(model, contexts);
		return {
			requests: occupants.length,
			writers,
			readers,
			backlog: Math.max(readsUntil - now, least),
			pass,
			placeWait: placeWait(model, occupants, pass, urgency),
			free,
		};
	}

	#drop(id: string, now: number): void {
		const job = this.#jobs.get(id);
		if (job === undefined) {
			return;
		}

		this.#jobs.delete(id);
		for (const engine of enginesOf(job)) {
			const shelf = this.#shelf(engine);
			shelf.jobs.delete(id);
			if (shelf.jobs.size === 0) {
				this.#shelves.delete(engine);
			} else if (job.firstByte === undefined) {
				settle(shelf, now);
			}
		}
	}

	#shelf(upstream: string): Shelf {
		const known = this.#shelves.get(upstream) ?? {jobs: new Map<string, Job>(), readsUntil: 0};
		this.#shelves.set(upstream, known);
		return known;
	}
}

function enginesOf(job: Job): readonly string[] {
	return [job.upstream, ...job.helpers];
}

/** What is read there now that one reading less is known of: nothing, or what the others need at most. */
function settle(shelf: Shelf, now: number): void {
	let left = 0;
	for (const job of shelf.jobs.values()) {
		left += job.firstByte === undefined ? job.read : 0;
	}

	shelf.readsUntil = Math.min(shelf.readsUntil, now + left);
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
