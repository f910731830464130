/**
 * Model of an engine's batch, computed from the figures that its service publishes: iterations of several steps, in which answers
 * are decoded and prompts prefilled in chunks. It has no clock: the stand-in drives it in real time, the simulation in virtual time.
 */
import {footprint} from '../../src/core/gateway/engines/engine.js';
import {type EngineModel} from '../../src/core/gateway/types.js';

export type BatchJob = {
	readonly id: string;
	/** Tokens of the whole prompt. */
	readonly prompt: number;
	/** Engines that prefill parts of the prompt, including this one. */
	readonly engineCount: number;
	/** Events to generate; 0 where this engine only helps with the prefill. */
	readonly events: number;
	/** Lower is admitted first. */
	readonly priority: number;
	/** Tokens of memory used here until the job ends. */
	readonly memory: number;
};

/** Progress of one job in an iteration. */
export type JobProgress = {
	readonly job: BatchJob;
	/** Whether this iteration completed the prefill of its part. */
	readonly isPrefilled: boolean;
	/** Whether this iteration generated an event. */
	readonly hasEvent: boolean;
	readonly isFinished: boolean;
};

type Entry = {
	readonly job: BatchJob;
	readonly order: number;
	/** Prefilled tokens of this engine's part. */
	read: number;
	/** Events generated. */
	written: number;
	/** Whether decoding may start: the parts of all other engines have been prefilled. */
	canDecode: boolean;
};

const million = 1_000_000;

function getPartTokens(job: BatchJob): number {
	return job.prompt / job.engineCount;
}

export class Batch {
	readonly #model: EngineModel;
	readonly #running: Entry[] = [];
	readonly #waiting: Entry[] = [];
	readonly #heldTokens = new Map<string, number>();
	readonly #onAdmitted: ((job: BatchJob) => void) | undefined;
	#order = 0;
	#progress: JobProgress[] | undefined;

	/**
	 * @param model - Figures of the engine.
	 * @param onAdmitted - Called with each job that gets a slot and memory.
	 */
	constructor(model: EngineModel, onAdmitted?: (job: BatchJob) => void) {
		this.#model = model;
		this.#onAdmitted = onAdmitted;
	}

	/** Number of jobs being prefilled or decoded, without those this engine only helps with. */
	get activeJobs(): number {
		return this.#running.filter(entry => entry.job.events > 0).length;
	}

	/** Number of jobs that wait for a slot or memory. */
	get queued(): number {
		return this.#waiting.length;
	}

	/** Tokens of memory in use. */
	get used(): number {
		let sum = 0;
		for (const {job} of this.#running) {
			sum += job.memory;
		}

		for (const tokens of this.#heldTokens.values()) {
			sum += tokens;
		}

		return sum;
	}

	get isIdle(): boolean {
		return this.#running.length === 0 && this.#waiting.length === 0;
	}

	/**
	 * Queues a job; it runs once a slot and memory are free.
	 */
	add(job: BatchJob): void {
		this.#waiting.push({
			job, order: this.#order++, read: 0, written: 0, canDecode: job.engineCount === 1,
		});
		this.#waiting.sort((a, b) => a.job.priority - b.job.priority || a.order - b.order);
	}

	/**
	 * Reserves memory for a job whose prompt is split over several engines.
	 *
	 * @param id - Id of the job.
	 * @param tokens - Memory at this engine.
	 * @returns Whether there was enough free memory.
	 */
	hold(id: string, tokens: number): boolean {
		if (this.used + tokens > this.#model.memory) {
			return false;
		}

		this.#heldTokens.set(id, tokens);
		return true;
	}

	/**
	 * Releases the memory reserved for a job.
	 *
	 * @param id - Id of the job.
	 */
	releaseHold(id: string): void {
		this.#heldTokens.delete(id);
	}

	/**
	 * Lets a job be decoded, since the other engines have prefilled their parts.
	 *
	 * @param id - Id of the job.
	 */
	allowDecode(id: string): void {
		for (const entry of this.#running) {
			if (entry.job.id === id) {
				entry.canDecode = true;
			}
		}
	}

	/**
	 * Removes a running or queued job.
	 *
	 * @param id - Id of the job.
	 */
	remove(id: string): void {
		for (const list of [this.#running, this.#waiting]) {
			const index = list.findIndex(entry => entry.job.id === id);
			if (index !== -1) {
				list.splice(index, 1);
			}
		}
	}

	/**
	 * Starts an iteration.
	 *
	 * @returns Its duration in milliseconds, or undefined if there is nothing to do.
	 */
	startIteration(): number | undefined {
		this.#admit();
		const decoding = this.#running.filter(entry => this.#isDecoding(entry));
		const prefilling = this.#findPrefilling();
		if (decoding.length === 0 && prefilling.length === 0) {
			return undefined;
		}

		const steps = decoding.length === 0 ? 1 : this.#model.stride;
		let time = 0;
		const progress = new Map<Entry, {isPrefilled: boolean; hasEvent: boolean}>();
		for (let step = 0; step < steps; step++) {
			time += this.#computeStepTime(decoding) + this.#prefillChunk(prefilling, progress);
		}

		for (const entry of decoding) {
			entry.written++;
			progress.set(entry, {isPrefilled: false, hasEvent: true});
		}

		this.#progress = [...progress].map(([{job, written}, change]) => ({
			job, ...change, isFinished: change.hasEvent && written >= job.events,
		}));
		return time;
	}

	/**
	 * Ends the iteration.
	 *
	 * @returns The progress of its jobs; those removed meanwhile are left out.
	 */
	finishIteration(): readonly JobProgress[] {
		const progress = (this.#progress ?? []).filter(({job}) => this.#running.some(entry => entry.job.id === job.id));
		this.#progress = undefined;
		for (const {job, isFinished, isPrefilled} of progress) {
			if (isFinished || (isPrefilled && job.events === 0)) {
				this.remove(job.id);
			}
		}

		return progress;
	}

	#isDecoding(entry: Entry): boolean {
		return entry.canDecode && entry.job.events > 0 && entry.read >= getPartTokens(entry.job);
	}

	/** Parts of prompts that this engine only helps with come first. */
	#findPrefilling(): Entry[] {
		return this.#running
			.filter(entry => entry.read < getPartTokens(entry.job))
			.toSorted((a, b) => Number(a.job.events > 0) - Number(b.job.events > 0));
	}

	#computeStepTime(decoding: readonly Entry[]): number {
		const {step, perRequest, perThousand, hop} = this.#model;
		let time = step;
		for (const {job} of decoding) {
			time += perRequest + (getPartTokens(job) / 1000 * perThousand) + (job.engineCount > 1 ? hop / this.#model.stride : 0);
		}

		return time;
	}

	#prefillChunk(prefilling: readonly Entry[], progress: Map<Entry, {isPrefilled: boolean; hasEvent: boolean}>): number {
		let budget = this.#model.chunk;
		let time = 0;
		for (const entry of prefilling) {
			const part = getPartTokens(entry.job);
			const tokens = Math.min(budget, part - entry.read);
			if (tokens <= 0) {
				continue;
			}

			budget -= tokens;
			time += this.#computePrefillTime(entry, tokens);
			entry.read += tokens;
			if (entry.read >= part) {
				progress.set(entry, {isPrefilled: true, hasEvent: false});
			}
		}

		return time;
	}

	/** Each engine computes an even share of the whole prompt's token pairs. */
	#computePrefillTime({job, read}: Entry, tokens: number): number {
		const scale = job.engineCount;
		const before = read * scale;
		const after = (read + tokens) * scale;
		const pairs = ((after ** 2) - (before ** 2)) / 2 / million / scale;
		return (tokens / this.#model.readRate) + (pairs * this.#model.pairs);
	}

	#admit(): void {
		for (let next = this.#waiting[0]; next !== undefined; next = this.#waiting[0]) {
			const isHelper = next.job.events === 0;
			const hasSlot = isHelper || this.activeJobs < this.#model.slots;
			if (!hasSlot || this.used + next.job.memory > this.#model.memory) {
				return;
			}

			this.#waiting.shift();
			this.#running.push(next);
			this.#onAdmitted?.(next.job);
		}
	}
}

/**
 * @param prompt - Tokens of the prompt.
 * @param answer - Tokens of the answer.
 * @returns Tokens of memory that a request uses at an engine that holds all of it.
 */
export function computeMemory(model: EngineModel, prompt: number, answer: number): number {
	return Math.min(footprint(model, prompt, answer), Math.ceil(prompt + answer));
}
