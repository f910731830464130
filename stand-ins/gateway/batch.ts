/**
 * A model engine's batch as its service publishes it, without a clock: passes of several steps in which requests are
 * written and prompts read in chunks. Drives the stand-in in real time and the policy bench in virtual time.
 */
import {footprint} from '../../src/core/gateway/engine.js';
import {type EngineModel} from '../../src/core/gateway/types.js';

export type BatchJob = {
	readonly id: string;
	/** Tokens of the whole prompt. */
	readonly prompt: number;
	/** Engines that read parts of it, this one included. */
	readonly parts: number;
	/** Events to write; 0 where this engine only helps to read. */
	readonly events: number;
	/** Lower is admitted first. */
	readonly priority: number;
	/** Tokens of memory taken here until the job is over. */
	readonly memory: number;
};

/** What a pass brought for one job. */
export type Advance = {
	readonly job: BatchJob;
	/** Set in the pass in which the last token of its part was read. */
	readonly isRead: boolean;
	/** Set where an event was written. */
	readonly hasEvent: boolean;
	readonly isOver: boolean;
};

type Entry = {
	readonly job: BatchJob;
	readonly order: number;
	/** Tokens of this engine's part that are read. */
	read: number;
	written: number;
	/** Whether writing may begin: all parts have been read. */
	isReleased: boolean;
};

const million = 1_000_000;

function partOf(job: BatchJob): number {
	return job.prompt / job.parts;
}

export class Batch {
	readonly #model: EngineModel;
	readonly #running: Entry[] = [];
	readonly #waiting: Entry[] = [];
	readonly #held = new Map<string, number>();
	#order = 0;
	#finished: Advance[] | undefined;

	/**
	 * @param model - Figures of the engine.
	 */
	constructor(model: EngineModel) {
		this.#model = model;
	}

	/** Requests being read or written, helpers excluded. */
	get active(): number {
		return this.#running.filter(entry => entry.job.events > 0).length;
	}

	get queued(): number {
		return this.#waiting.length;
	}

	/** Tokens of memory in use. */
	get used(): number {
		let sum = 0;
		for (const {job} of this.#running) {
			sum += job.memory;
		}

		for (const tokens of this.#held.values()) {
			sum += tokens;
		}

		return sum;
	}

	get isIdle(): boolean {
		return this.#running.length === 0 && this.#waiting.length === 0;
	}

	/**
	 * @param job - Job to run once there is room.
	 */
	add(job: BatchJob): void {
		this.#waiting.push({
			job, order: this.#order++, read: 0, written: 0, isReleased: job.parts === 1,
		});
		this.#waiting.sort((a, b) => a.job.priority - b.job.priority || a.order - b.order);
	}

	/**
	 * Sets memory aside for a job that several engines hold.
	 *
	 * @param id - Job.
	 * @param tokens - Memory here.
	 * @returns Whether there was room.
	 */
	hold(id: string, tokens: number): boolean {
		if (this.used + tokens > this.#model.memory) {
			return false;
		}

		this.#held.set(id, tokens);
		return true;
	}

	/**
	 * @param id - Job whose memory is free again.
	 */
	unhold(id: string): void {
		this.#held.delete(id);
	}

	/**
	 * @param id - Job whose other parts have been read too.
	 */
	release(id: string): void {
		for (const entry of this.#running) {
			if (entry.job.id === id) {
				entry.isReleased = true;
			}
		}
	}

	/**
	 * @param id - Job to drop.
	 */
	remove(id: string): void {
		for (const list of [this.#running, this.#waiting]) {
			const place = list.findIndex(entry => entry.job.id === id);
			if (place !== -1) {
				list.splice(place, 1);
			}
		}
	}

	/**
	 * Begins a pass.
	 *
	 * @returns Its time in milliseconds, or undefined if there is nothing to do.
	 */
	begin(): number | undefined {
		this.#admit();
		const writers = this.#running.filter(entry => this.#isWritten(entry));
		const readers = this.#readers();
		if (writers.length === 0 && readers.length === 0) {
			return undefined;
		}

		const steps = writers.length === 0 ? 1 : this.#model.stride;
		let time = 0;
		const advances = new Map<Entry, {isRead: boolean; hasEvent: boolean}>();
		for (let step = 0; step < steps; step++) {
			time += this.#stepTime(writers) + this.#readChunk(readers, advances);
		}

		for (const entry of writers) {
			entry.written++;
			advances.set(entry, {isRead: false, hasEvent: true});
		}

		this.#finished = [...advances].map(([{job, written}, advance]) => ({
			job, ...advance, isOver: advance.hasEvent && written >= job.events,
		}));
		return time;
	}

	/**
	 * Ends the pass.
	 *
	 * @returns What it brought.
	 */
	finish(): readonly Advance[] {
		const finished = (this.#finished ?? []).filter(({job}) => this.#running.some(entry => entry.job.id === job.id));
		this.#finished = undefined;
		for (const {job, isOver, isRead} of finished) {
			if (isOver || (isRead && job.events === 0)) {
				this.remove(job.id);
			}
		}

		return finished;
	}

	#isWritten(entry: Entry): boolean {
		return entry.isReleased && entry.job.events > 0 && entry.read >= partOf(entry.job);
	}

	/** Parts of others' prompts are read first. */
	#readers(): Entry[] {
		return this.#running
			.filter(entry => entry.read < partOf(entry.job))
			.toSorted((a, b) => Number(a.job.events > 0) - Number(b.job.events > 0));
	}

	#stepTime(writers: readonly Entry[]): number {
		const {step, perRequest, perThousand, hop} = this.#model;
		let time = step;
		for (const {job} of writers) {
			time += perRequest + (partOf(job) / 1000 * perThousand) + (job.parts > 1 ? hop / this.#model.stride : 0);
		}

		return time;
	}

	#readChunk(readers: readonly Entry[], advances: Map<Entry, {isRead: boolean; hasEvent: boolean}>): number {
		let budget = this.#model.chunk;
		let time = 0;
		for (const entry of readers) {
			const part = partOf(entry.job);
			const tokens = Math.min(budget, part - entry.read);
			if (tokens <= 0) {
				continue;
			}

			budget -= tokens;
			time += this.#readTime(entry, tokens);
			entry.read += tokens;
			if (entry.read >= part) {
				advances.set(entry, {isRead: true, hasEvent: false});
			}
		}

		return time;
	}

	/** Each part has its even share of the pairs of the whole prompt. */
	#readTime({job, read}: Entry, tokens: number): number {
		const scale = job.parts;
		const before = read * scale;
		const after = (read + tokens) * scale;
		const pairs = ((after ** 2) - (before ** 2)) / 2 / million / scale;
		return (tokens / this.#model.readRate) + (pairs * this.#model.pairs);
	}

	#admit(): void {
		for (let next = this.#waiting[0]; next !== undefined; next = this.#waiting[0]) {
			const isHelp = next.job.events === 0;
			const hasPlace = isHelp || this.active < this.#model.slots;
			if (!hasPlace || this.used + next.job.memory > this.#model.memory) {
				return;
			}

			this.#waiting.shift();
			this.#running.push(next);
		}
	}
}

/**
 * @param model - Engine.
 * @param prompt - Tokens in.
 * @param answer - Tokens out.
 * @returns Tokens of memory that a request takes at an engine that holds all of it.
 */
export function memoryOf(model: EngineModel, prompt: number, answer: number): number {
	return Math.min(footprint(model, prompt, answer), Math.ceil(prompt + answer));
}
