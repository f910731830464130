/**
 * Continuous batching in engine time. Each iteration prefills a chunk of prompt tokens and decodes one token for every
 * request whose prompt is complete; its duration grows with both. A single timer drives the whole batch.
 */
import {performance} from 'node:perf_hooks';
import {blockTokens} from '../../src/upstream/protocol.js';
import {type Memory} from './memory.js';
import {type EngineSettings} from './settings.js';

/** Work for one request or one prompt segment. */
export type Job = {
	readonly id: string;
	/** Lower values run first. */
	readonly priority: number;
	readonly promptTokens: number;
	/** Memory to reserve, in tokens. */
	readonly reservedTokens: number;
	/** Tokens to decode in all; 0 for a segment. */
	readonly output: number;
	/** Tokens already decoded, for an imported attempt. */
	readonly produced: number;
	/** Whether the prompt's KV cache is already available. */
	readonly isPrefilled: boolean;
	/** Block hashes of the prompt; empty for jobs that don't use the prefix cache. */
	readonly blocks: readonly string[];
};

/** Callbacks for the progress of jobs. */
export type BatchListener = {
	readonly started: (job: Job, cachedTokens: number) => void;
	/** `produced` is the total number of tokens decoded so far. */
	readonly advanced: (job: Job, produced: number) => void;
	readonly finished: (job: Job) => void;
	/** Called after all iterations due by now are finished. */
	readonly settled: () => void;
};

type Entry = {
	readonly job: Job;
	/** Queue position among jobs of the same priority. */
	readonly order: number;
	/** Prompt tokens still to process. */
	remainingPrefill: number;
	produced: number;
	/** Prompt tokens processed in the current iteration. */
	share: number;
};

const minTimerDelayMs = 1;

function compareEntries(first: Entry, second: Entry): number {
	return first.job.priority - second.job.priority || first.order - second.order;
}

function insertSorted(entries: Entry[], entry: Entry): void {
	const index = entries.findIndex(each => compareEntries(entry, each) < 0);
	entries.splice(index === -1 ? entries.length : index, 0, entry);
}

export class Batch implements Disposable {
	readonly #settings: EngineSettings;
	readonly #timeScale: number;
	readonly #memory: Memory;
	readonly #listener: BatchListener;
	readonly #waiting: Entry[] = [];
	readonly #running: Entry[] = [];
	#nextOrder = 0;
	/** Monotonic real time, in milliseconds, at which the current iteration ends. */
	#iterationEnd: number | undefined;
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

	/** Prompt tokens still to process in running and waiting jobs. */
	get queuedPrefill(): number {
		return [...this.#running, ...this.#waiting].reduce((sum, each) => sum + each.remainingPrefill, 0);
	}

	add(job: Job): void {
		insertSorted(this.#waiting, {
			job,
			order: this.#nextOrder++,
			remainingPrefill: job.isPrefilled ? 0 : job.promptTokens,
			produced: job.produced,
			share: 0,
		});
		this.#scheduleIteration();
	}

	/** Removes a running or waiting job and releases its memory; does nothing if it has ended or is unknown. */
	remove(id: string): void {
		for (const entries of [this.#waiting, this.#running]) {
			const index = entries.findIndex(each => each.job.id === id);
			if (index !== -1) {
				entries.splice(index, 1);
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

	/** Continues after {@link pause}; the interrupted iteration starts again from its beginning. */
	resume(): void {
		this.#isPaused = false;
		this.#iterationEnd = undefined;
		this.#scheduleIteration();
	}

	[Symbol.dispose](): void {
		this.pause();
		this.#waiting.length = 0;
		this.#running.length = 0;
	}

	#scheduleIteration(): void {
		if (this.#isPaused || this.#timer !== undefined) {
			return;
		}

		this.#iterationEnd ??= this.#beginIteration(performance.now());
		if (this.#iterationEnd === undefined) {
			return;
		}

		const delay = Math.max(this.#iterationEnd - performance.now(), minTimerDelayMs);
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			this.#finishDueIterations(performance.now());
			this.#scheduleIteration();
		}, delay);
	}

	/** Finishes every iteration that is due, so that a delayed timer loses no engine time. */
	#finishDueIterations(now: number): void {
		while (this.#iterationEnd !== undefined && this.#iterationEnd <= now) {
			this.#finishIteration();
			this.#iterationEnd = this.#beginIteration(this.#iterationEnd);
		}

		this.#listener.settled();
	}

	/** Starts an iteration; returns the real time at which it ends, or undefined if there is no work. */
	#beginIteration(start: number): number | undefined {
		this.#admitWaiting();
		if (this.#running.length === 0) {
			return undefined;
		}

		let budget = this.#settings.chunk;
		let decodingJobs = 0;
		for (const entry of this.#running) {
			entry.share = Math.min(entry.remainingPrefill, budget);
			budget -= entry.share;
			decodingJobs += entry.remainingPrefill === 0 ? 1 : 0;
		}

		return start + (this.#calculateDuration(this.#settings.chunk - budget, decodingJobs) / this.#timeScale);
	}

	/** Returns the duration of an iteration, in milliseconds of engine time. */
	#calculateDuration(prefillTokens: number, decodingJobs: number): number {
		const {prefillRate, decodeInterval, batchSlowdown} = this.#settings;
		const decode = decodingJobs === 0 ? 0 : decodeInterval * (1 + (batchSlowdown * (decodingJobs - 1)));
		return (prefillTokens / prefillRate * 1000) + decode;
	}

	/** Moves waiting jobs into the batch in order, until the batch or the memory is full. */
	#admitWaiting(): void {
		for (let next = this.#waiting[0]; next !== undefined; next = this.#waiting[0]) {
			const isFull = this.#running.length >= this.#settings.batch;
			if (isFull || !this.#memory.reserve(next.job.id, next.job.reservedTokens)) {
				return;
			}

			this.#waiting.shift();
			const cached = this.#countCachedTokens(next);
			next.remainingPrefill = Math.max(next.remainingPrefill - cached, next.job.isPrefilled ? 0 : 1);
			insertSorted(this.#running, next);
			this.#listener.started(next.job, cached);
		}
	}

	#countCachedTokens(entry: Entry): number {
		const matched = this.#memory.matchPrefix(entry.job.blocks) * blockTokens;
		return Math.min(matched, entry.job.promptTokens);
	}

	#finishIteration(): void {
		for (const entry of this.#running) {
			const wasPrefilling = entry.remainingPrefill > 0;
			entry.remainingPrefill -= entry.share;
			if (entry.remainingPrefill > 0) {
				continue;
			}

			if (wasPrefilling) {
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
