/**
 * Continuous batching in engine time. Each iteration works on a chunk of prompt tokens and gives one token to every
 * request whose prompt is done; its length grows with both. One timer drives the whole batch.
 */
import {performance} from 'node:perf_hooks';
import {blockTokens} from '../../src/upstream/protocol.js';
import {type Memory} from './memory.js';
import {type EngineSettings} from './settings.js';

/** Work of one request or one segment. */
export type Job = {
	readonly id: string;
	/** Lower runs first. */
	readonly priority: number;
	readonly promptTokens: number;
	/** Tokens that the job reserves in memory. */
	readonly reserve: number;
	/** Tokens to decode; 0 for a segment. */
	readonly output: number;
	/** Tokens decoded before, for a stream that continues. */
	readonly produced: number;
	/** Whether the prompt's KV cache is already here. */
	readonly prefilled: boolean;
	/** Hashes of the prompt's blocks; empty where the cache plays no part. */
	readonly blocks: readonly string[];
};

/** Told what becomes of jobs. */
export type BatchListener = {
	readonly started: (job: Job, cachedTokens: number) => void;
	/** `produced` counts all tokens so far. */
	readonly advanced: (job: Job, produced: number) => void;
	readonly finished: (job: Job) => void;
	/** All iterations up to now are done. */
	readonly settled: () => void;
};

type Entry = {
	readonly job: Job;
	readonly order: number;
	prefillLeft: number;
	produced: number;
	/** Prompt tokens of the present iteration. */
	share: number;
};

const shortestWait = 1;

function before(first: Entry, second: Entry): number {
	return first.job.priority - second.job.priority || first.order - second.order;
}

function insert(entries: Entry[], entry: Entry): void {
	const at = entries.findIndex(each => before(entry, each) < 0);
	entries.splice(at === -1 ? entries.length : at, 0, entry);
}

export class Batch implements Disposable {
	readonly #settings: EngineSettings;
	readonly #timeScale: number;
	readonly #memory: Memory;
	readonly #listener: BatchListener;
	readonly #waiting: Entry[] = [];
	readonly #running: Entry[] = [];
	#order = 0;
	/** Real time at which the present iteration ends. */
	#until: number | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isPaused = false;

	constructor(settings: EngineSettings, timeScale: number, memory: Memory, listener: BatchListener) {
		this.#settings = settings;
		this.#timeScale = timeScale;
		this.#memory = memory;
		this.#listener = listener;
	}

	get running(): number {
		return this.#running.length;
	}

	get waiting(): number {
		return this.#waiting.length;
	}

	/** Prompt tokens not yet worked on. */
	get queuedPrefill(): number {
		return [...this.#running, ...this.#waiting].reduce((sum, each) => sum + each.prefillLeft, 0);
	}

	/**
	 * Queues a job.
	 *
	 * @param job - Work to do.
	 */
	add(job: Job): void {
		insert(this.#waiting, {
			job,
			order: this.#order++,
			prefillLeft: job.prefilled ? 0 : job.promptTokens,
			produced: job.produced,
			share: 0,
		});
		this.#wake();
	}

	/**
	 * Drops a job wherever it is; harmless if it is over.
	 *
	 * @param id - Job.
	 */
	remove(id: string): void {
		for (const entries of [this.#waiting, this.#running]) {
			const at = entries.findIndex(each => each.job.id === id);
			if (at !== -1) {
				entries.splice(at, 1);
				this.#memory.release(id);
			}
		}
	}

	/** Stops all work until {@link resume}. */
	pause(): void {
		this.#isPaused = true;
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	/** Goes on after {@link pause}; the time between was lost. */
	resume(): void {
		this.#isPaused = false;
		this.#until = undefined;
		this.#wake();
	}

	[Symbol.dispose](): void {
		this.pause();
		this.#waiting.length = 0;
		this.#running.length = 0;
	}

	#wake(): void {
		if (this.#isPaused || this.#timer !== undefined) {
			return;
		}

		this.#until ??= this.#begin(performance.now());
		if (this.#until === undefined) {
			return;
		}

		const wait = Math.max(this.#until - performance.now(), shortestWait);
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			this.#catchUp(performance.now());
			this.#wake();
		}, wait);
	}

	/** Ends every iteration that is due, so that a late timer loses no engine time. */
	#catchUp(now: number): void {
		while (this.#until !== undefined && this.#until <= now) {
			this.#finish();
			this.#until = this.#begin(this.#until);
		}

		this.#listener.settled();
	}

	/** Starts an iteration; returns the real time of its end, or undefined if there is no work. */
	#begin(start: number): number | undefined {
		this.#admit();
		if (this.#running.length === 0) {
			return undefined;
		}

		let budget = this.#settings.chunk;
		let decoding = 0;
		for (const entry of this.#running) {
			entry.share = Math.min(entry.prefillLeft, budget);
			budget -= entry.share;
			decoding += entry.prefillLeft === 0 ? 1 : 0;
		}

		return start + (this.#duration(this.#settings.chunk - budget, decoding) / this.#timeScale);
	}

	#duration(prefill: number, decoding: number): number {
		const {prefillRate, decodeInterval, batchSlowdown} = this.#settings;
		const decode = decoding === 0 ? 0 : decodeInterval * (1 + (batchSlowdown * (decoding - 1)));
		return (prefill / prefillRate * 1000) + decode;
	}

	/** Moves waiting jobs into the batch, in order, while there is room. */
	#admit(): void {
		for (let next = this.#waiting[0]; next !== undefined; next = this.#waiting[0]) {
			const isFull = this.#running.length >= this.#settings.batch;
			if (isFull || !this.#memory.reserve(next.job.id, next.job.reserve)) {
				return;
			}

			this.#waiting.shift();
			const cached = this.#cachedTokens(next);
			next.prefillLeft = Math.max(next.prefillLeft - cached, next.job.prefilled ? 0 : 1);
			insert(this.#running, next);
			this.#listener.started(next.job, cached);
		}
	}

	#cachedTokens(entry: Entry): number {
		const matched = this.#memory.match(entry.job.blocks) * blockTokens;
		return Math.min(matched, entry.job.promptTokens);
	}

	#finish(): void {
		for (const entry of this.#running) {
			const hadPrompt = entry.prefillLeft > 0;
			entry.prefillLeft -= entry.share;
			if (entry.prefillLeft > 0) {
				continue;
			}

			if (hadPrompt) {
				this.#memory.store(entry.job.blocks);
			}

			if (entry.produced < entry.job.output) {
				entry.produced++;
				this.#listener.advanced(entry.job, entry.produced);
			}

			if (entry.produced >= entry.job.output) {
				this.remove(entry.job.id);
				this.#listener.finished(entry.job);
			}
		}
	}
}
