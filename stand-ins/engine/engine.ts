/** One incarnation of an engine: everything it loses in a crash. */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {type Address} from '../../src/core/index.js';
import {
	type EngineLoad, type Export, type HoldWanted, type Holds, type SegmentWork,
} from '../../src/upstream/protocol.js';
import {Attempt, type Wanted} from './attempt.js';
import {Batch, type Job} from './batch.js';
import {CacheEventLog} from './cache-events.js';
import {type ExecutionLog, type Execution} from './executions.js';
import {HoldTable} from './holds.js';
import {LoadHistory} from './load-history.js';
import {Memory} from './memory.js';
import {Orders} from './orders.js';
import {type EngineSettings} from './settings.js';

/** A request to run. */
export type Run = {
	readonly wanted: Wanted;
	readonly priority: number;
	readonly blocks: readonly string[];
	/** Holds that together have the prompt's KV cache. */
	readonly holds: readonly string[];
	/** Real milliseconds after which it is cancelled. */
	readonly timeout: number | undefined;
	readonly execution: Omit<Execution, 'incarnation'>;
	/** Told when the engine begins it. */
	readonly onStart: () => void;
};

export type Refusal = {
	readonly status: number;
	readonly type: string;
	readonly message: string;
};

/** What engines of one process share. */
export type Surroundings = {
	readonly timeScale: number;
	readonly seed: number;
	readonly weightStore: Address | undefined;
	readonly log: ExecutionLog;
};

type Segment = {readonly resolve: (isDone: boolean) => void};

export class Engine implements Disposable {
	readonly incarnation: string;
	readonly orders: Orders;
	readonly cacheEvents: CacheEventLog;
	readonly #settings: EngineSettings;
	readonly #surroundings: Surroundings;
	readonly #memory: Memory;
	readonly #batch: Batch;
	readonly #holds: HoldTable;
	readonly #history: LoadHistory;
	readonly #attempts = new Map<string, Attempt>();
	readonly #runs = new Map<string, Run>();
	readonly #segments = new Map<string, Segment>();
	readonly #timers = new Set<NodeJS.Timeout>();
	readonly #touched = new Set<Attempt>();
	#drains: Array<() => void> = [];

	constructor(incarnation: string, settings: EngineSettings, surroundings: Surroundings) {
		const {timeScale, seed, weightStore} = surroundings;
		const {delay, loss} = settings.cacheEvents;
		this.incarnation = incarnation;
		this.#settings = settings;
		this.#surroundings = surroundings;
		this.cacheEvents = new CacheEventLog(incarnation, delay / timeScale, loss, seed);
		this.#memory = new Memory(settings.memory, (type, blocks) => {
			this.cacheEvents.add(type, blocks, performance.now());
		});
		this.#holds = new HoldTable(this.#memory);
		this.#batch = new Batch(settings, timeScale, this.#memory, {
			started: (job, cached) => {
				this.#started(job, cached);
			},
			advanced: (job, produced) => {
				this.#advanced(job, produced);
			},
			finished: job => {
				this.#finished(job);
			},
			settled: () => {
				this.#settled();
			},
		});
		this.orders = new Orders(settings, timeScale, weightStore, {
			drained: async () => this.#drained(),
			replaced: () => {
				this.#memory.clear();
			},
		});
		this.#history = new LoadHistory(settings.reportLag / timeScale, () => this.#figures());
	}

	/** The load figures as they were some time ago. */
	get load(): EngineLoad {
		return this.#history.read();
	}

	get holds(): Holds {
		return {incarnation: this.incarnation, holds: this.#holds.list()};
	}

	/**
	 * Queues a request.
	 *
	 * @param run - Request.
	 * @returns The attempt, or why it was refused.
	 */
	run(run: Run): Attempt | Refusal {
		const refusal = this.#refusalOf(run);
		if (refusal !== undefined) {
			return refusal;
		}

		const {wanted} = run;
		const attempt = new Attempt(wanted);
		this.#attempts.set(wanted.id, attempt);
		this.#runs.set(wanted.id, run);
		this.#surroundings.log.count('accepted');
		this.#limitTime(wanted.id, run.timeout);
		this.#batch.add({
			id: wanted.id,
			priority: run.priority,
			promptTokens: wanted.promptTokens,
			reserve: this.#reserveFor(run),
			output: wanted.output,
			produced: 0,
			prefilled: run.holds.length > 0,
			blocks: run.holds.length > 0 ? [] : run.blocks,
		});
		return attempt;
	}

	/**
	 * @param id - Attempt.
	 * @returns The attempt, while it can be resumed.
	 */
	attempt(id: string): Attempt | undefined {
		return this.#attempts.get(id);
	}

	/**
	 * Cancels an attempt and gives back its memory; harmless if it is over or unknown.
	 *
	 * @param id - Attempt.
	 */
	cancel(id: string): void {
		const attempt = this.#attempts.get(id);
		if (attempt?.status !== 'running') {
			return;
		}

		this.#batch.remove(id);
		attempt.end('cancelled');
		this.#surroundings.log.count('cancelled');
		this.#forget(id);
	}

	/**
	 * @param id - Hold.
	 * @param wanted - Tokens, owner and deadline.
	 * @returns Whether the memory is held, also by an equal hold before.
	 */
	hold(id: string, wanted: HoldWanted): boolean {
		return this.#holds.take(id, wanted);
	}

	/**
	 * Gives back a hold and stops the work on its segment.
	 *
	 * @param id - Hold.
	 */
	release(id: string): void {
		this.#batch.remove(`segment ${id}`);
		this.#segments.get(id)?.resolve(false);
		this.#segments.delete(id);
		this.#holds.release(id);
	}

	/**
	 * Prefills one segment of a prompt into a hold.
	 *
	 * @param id - Hold.
	 * @param work - Range of prompt tokens.
	 * @returns Whether it was done; false if the hold is gone or too small.
	 */
	async prefill(id: string, work: SegmentWork): Promise<boolean> {
		const tokens = work.to - work.from;
		if (!this.#holds.fits(id, tokens) || this.#segments.has(id)) {
			return false;
		}

		const isDone = await new Promise<boolean>(resolve => {
			this.#segments.set(id, {resolve});
			this.#batch.add({
				id: `segment ${id}`, priority: 0, promptTokens: tokens, reserve: 0, output: 0, produced: 0, prefilled: false, blocks: [],
			});
		});
		this.#holds.fill(id, tokens);
		return isDone;
	}

	/**
	 * Takes a running stream off the engine.
	 *
	 * @param id - Attempt.
	 * @returns What another engine needs to continue it, or undefined if it does not run here.
	 */
	export(id: string): Export | undefined {
		const attempt = this.#attempts.get(id);
		if (attempt?.status !== 'running') {
			return undefined;
		}

		this.#batch.remove(id);
		attempt.end('exported');
		this.#forget(id);
		const cache = Buffer.from(JSON.stringify(attempt.wanted)).toString('base64');
		return {
			attempt: id, offset: attempt.produced, prompt: attempt.wanted.promptTokens, cache,
		};
	}

	/**
	 * Continues a stream that another engine exported.
	 *
	 * @param exported - The export.
	 * @param wanted - Work as the exporting engine knew it.
	 * @returns The attempt, or undefined if there is no memory for it.
	 */
	import(exported: Export, wanted: Wanted): Attempt | undefined {
		const reserve = wanted.promptTokens + wanted.output;
		if (this.#memory.used + reserve > this.#settings.memory || this.#attempts.has(wanted.id)) {
			return undefined;
		}

		const attempt = new Attempt(wanted, exported.offset);
		this.#attempts.set(wanted.id, attempt);
		this.#batch.add({
			id: wanted.id,
			priority: 0,
			promptTokens: wanted.promptTokens,
			reserve,
			output: wanted.output,
			produced: exported.offset,
			prefilled: true,
			blocks: [],
		});
		return attempt;
	}

	/** Stops all work until {@link thaw}. */
	freeze(): void {
		this.#batch.pause();
	}

	thaw(): void {
		this.#batch.resume();
	}

	[Symbol.dispose](): void {
		this.#batch[Symbol.dispose]();
		this.#history[Symbol.dispose]();
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}
	}

	#refusalOf(run: Run): Refusal | undefined {
		const {wanted, holds} = run;
		if (this.orders.current === undefined || this.orders.loading !== undefined) {
			return {status: 503, type: 'not-ready', message: 'the engine is loading or holds no model'};
		}

		if (this.#attempts.has(wanted.id)) {
			return {status: 409, type: 'attempt-exists', message: 'the attempt id was used before'};
		}

		if (holds.length > 0) {
			return this.#holds.firstOf(holds) === undefined
				? {status: 409, type: 'hold-gone', message: 'none of the holds is here'}
				: undefined;
		}

		return wanted.promptTokens + wanted.output > this.#settings.memory
			? {status: 413, type: 'too-long', message: 'prompt and answer do not fit into memory'}
			: undefined;
	}

	/** A request over holds needs memory only for what its local hold has no room for. */
	#reserveFor({wanted, holds}: Run): number {
		const local = this.#holds.firstOf(holds);
		return local === undefined
			? wanted.promptTokens + wanted.output
			: Math.max(wanted.output - this.#holds.room(local), 0);
	}

	#limitTime(id: string, timeout: number | undefined): void {
		if (timeout !== undefined) {
			this.#after(timeout, () => {
				this.cancel(id);
			});
		}
	}

	#forget(id: string): void {
		this.#runs.delete(id);
		this.#after(this.#settings.retention / this.#surroundings.timeScale, () => {
			this.#attempts.delete(id);
		});
		this.#notifyDrained();
	}

	#after(milliseconds: number, action: () => void): void {
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			action();
		}, milliseconds).unref();
		this.#timers.add(timer);
	}

	#started(job: Job, cachedTokens: number): void {
		this.#attempts.get(job.id)?.start(cachedTokens);
		const run = this.#runs.get(job.id);
		if (run === undefined) {
			return;
		}

		const {log} = this.#surroundings;
		log.add({...run.execution, incarnation: this.incarnation});
		log.count('promptTokens', job.promptTokens);
		log.count('cachedTokens', cachedTokens);
		run.onStart();
	}

	#advanced(job: Job, produced: number): void {
		const attempt = this.#attempts.get(job.id);
		if (attempt !== undefined) {
			attempt.advance(produced);
			this.#touched.add(attempt);
		}
	}

	#finished(job: Job): void {
		const segment = job.id.startsWith('segment ') ? job.id.slice('segment '.length) : undefined;
		if (segment !== undefined) {
			this.#segments.get(segment)?.resolve(true);
			this.#segments.delete(segment);
			return;
		}

		this.#attempts.get(job.id)?.end('finished');
		this.#surroundings.log.count('finished');
		this.#forget(job.id);
	}

	#settled(): void {
		for (const attempt of this.#touched) {
			attempt.pump();
		}

		this.#touched.clear();
	}

	async #drained(): Promise<void> {
		if (this.#batch.running + this.#batch.waiting === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#drains.push(resolve);
		});
	}

	#notifyDrained(): void {
		if (this.#batch.running + this.#batch.waiting > 0) {
			return;
		}

		const waiting = this.#drains;
		this.#drains = [];
		for (const resolve of waiting) {
			resolve();
		}
	}

	#figures(): Omit<EngineLoad, 'age'> {
		return {
			engine: this.#settings.id,
			incarnation: this.incarnation,
			ready: this.orders.current !== undefined && this.orders.loading === undefined,
			running: this.#batch.running,
			waiting: this.#batch.waiting,
			queuedPrefill: this.#batch.queuedPrefill,
			usedMemory: this.#memory.used,
			memory: this.#memory.capacity,
			current: this.orders.current,
			loading: this.orders.loading,
			orderNumber: this.orders.highest,
		};
	}
}
