/** One incarnation of an engine: holds all state that a crash discards. */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {type Address} from '../../src/core/index.js';
import {
	type EngineLoad, type Export, type HoldRequest, type Holds, type SegmentRequest,
} from '../../src/upstream/protocol.js';
import {Attempt, type Task} from './attempt.js';
import {Batch, type Job} from './batch.js';
import {CacheEventLog} from './cache-events.js';
import {type ExecutionLog, type Execution} from './executions.js';
import {HoldTable} from './holds.js';
import {LoadHistory} from './load-history.js';
import {Memory} from './memory.js';
import {Orders} from './orders.js';
import {type EngineSettings} from './settings.js';

/** A request to run. */
export type RunRequest = {
	readonly task: Task;
	readonly priority: number;
	readonly blocks: readonly string[];
	/** Ids of holds, here and at other engines, that together contain the prompt's KV cache. */
	readonly holds: readonly string[];
	/** Real milliseconds until it is cancelled. */
	readonly timeout: number | undefined;
	readonly execution: Omit<Execution, 'incarnation'>;
	/** Called when the request enters the batch. */
	readonly onStart: () => void;
};

export type Refusal = {
	/** HTTP status. */
	readonly status: number;
	readonly type: string;
	readonly message: string;
};

/** Values and collaborators of an engine. The log outlives the engine's incarnations. */
export type EngineOptions = {
	readonly timeScale: number;
	/** Seed of the random loss of cache events. */
	readonly seed: number;
	readonly weightStore: Address | undefined;
	readonly log: ExecutionLog;
};

type PendingSegment = {readonly resolve: (isDone: boolean) => void};

export class Engine implements Disposable {
	readonly incarnation: string;
	readonly orders: Orders;
	readonly cacheEvents: CacheEventLog;
	readonly #settings: EngineSettings;
	readonly #options: EngineOptions;
	readonly #memory: Memory;
	readonly #batch: Batch;
	readonly #holds: HoldTable;
	readonly #history: LoadHistory;
	readonly #attempts = new Map<string, Attempt>();
	readonly #runs = new Map<string, RunRequest>();
	readonly #segments = new Map<string, PendingSegment>();
	readonly #timers = new Set<NodeJS.Timeout>();
	readonly #advancedAttempts = new Set<Attempt>();
	#drainWaiters: Array<() => void> = [];

	constructor(incarnation: string, settings: EngineSettings, options: EngineOptions) {
		const {timeScale, seed, weightStore} = options;
		const {delay, loss} = settings.cacheEvents;
		this.incarnation = incarnation;
		this.#settings = settings;
		this.#options = options;
		this.cacheEvents = new CacheEventLog(incarnation, delay / timeScale, loss, seed);
		this.#memory = new Memory(settings.memory, (type, blocks) => {
			this.cacheEvents.add(type, blocks, performance.now());
		});
		this.#holds = new HoldTable(this.#memory);
		this.#batch = new Batch(settings, timeScale, this.#memory, {
			started: (job, cached) => {
				this.#handleStarted(job, cached);
			},
			advanced: (job, produced) => {
				this.#handleAdvanced(job, produced);
			},
			finished: job => {
				this.#handleFinished(job);
			},
			settled: () => {
				this.#handleSettled();
			},
		});
		this.orders = new Orders(settings, timeScale, weightStore, {
			waitForDrain: async () => this.#waitForDrain(),
			replaced: () => {
				this.#memory.clear();
			},
		});
		this.#history = new LoadHistory(settings.reportLag / timeScale, () => this.#measureLoad());
	}

	/** Load figures, delayed by the report lag. */
	get load(): EngineLoad {
		return this.#history.read();
	}

	get holds(): Holds {
		return {incarnation: this.incarnation, holds: this.#holds.list()};
	}

	/** Queues a request; returns its attempt or the reason for refusing it. */
	run(run: RunRequest): Attempt | Refusal {
		const refusal = this.#findRefusal(run);
		if (refusal !== undefined) {
			return refusal;
		}

		const {task} = run;
		const attempt = new Attempt(task);
		this.#attempts.set(task.id, attempt);
		this.#runs.set(task.id, run);
		this.#options.log.count('accepted');
		this.#scheduleCancel(task.id, run.timeout);
		this.#batch.add({
			id: task.id,
			priority: run.priority,
			promptTokens: task.promptTokens,
			reservedTokens: this.#calculateReservation(run),
			output: task.output,
			produced: 0,
			isPrefilled: run.holds.length > 0,
			blocks: run.holds.length > 0 ? [] : run.blocks,
		});
		return attempt;
	}

	/** Returns an attempt that is running, waiting or ended less than the retention time ago. */
	attempt(id: string): Attempt | undefined {
		return this.#attempts.get(id);
	}

	/** Cancels an attempt and releases its memory; does nothing if it has ended or is unknown. */
	cancel(id: string): void {
		const attempt = this.#attempts.get(id);
		if (attempt?.status !== 'running') {
			return;
		}

		this.#batch.remove(id);
		attempt.end('cancelled');
		this.#options.log.count('cancelled');
		this.#scheduleRemoval(id);
	}

	/**
	 * Reserves KV memory.
	 *
	 * @param id - Hold.
	 * @param request - Tokens, owner and deadline.
	 * @returns Whether the memory is held, newly or by an earlier hold with the same id and size.
	 */
	hold(id: string, request: HoldRequest): boolean {
		return this.#holds.reserve(id, request);
	}

	/** Releases a hold and stops the prefill of its segment. */
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
	 * @returns Whether it finished; false if the hold doesn't exist, is too small, is already being filled or was released meanwhile.
	 */
	async prefill(id: string, work: SegmentRequest): Promise<boolean> {
		const tokens = work.to - work.from;
		if (!this.#holds.canFit(id, tokens) || this.#segments.has(id)) {
			return false;
		}

		const isDone = await new Promise<boolean>(resolve => {
			this.#segments.set(id, {resolve});
			this.#batch.add({
				id: `segment ${id}`, priority: 0, promptTokens: tokens, reservedTokens: 0, output: 0, produced: 0, isPrefilled: false, blocks: [],
			});
		});
		this.#holds.setFilled(id, tokens);
		return isDone;
	}

	/**
	 * Ends a running attempt here so that another engine can continue it.
	 *
	 * @param id - Attempt.
	 * @returns State for the other engine, or undefined if the attempt isn't running here.
	 */
	export(id: string): Export | undefined {
		const attempt = this.#attempts.get(id);
		if (attempt?.status !== 'running') {
			return undefined;
		}

		this.#batch.remove(id);
		attempt.end('exported');
		this.#scheduleRemoval(id);
		const cache = Buffer.from(JSON.stringify(attempt.task)).toString('base64');
		return {
			attempt: id, offset: attempt.produced, prompt: attempt.task.promptTokens, cache,
		};
	}

	/**
	 * Continues an attempt that another engine exported.
	 *
	 * @param exported - The export.
	 * @param task - Task decoded from the export.
	 * @returns The attempt, or undefined if the memory is insufficient or the attempt id is in use here.
	 */
	import(exported: Export, task: Task): Attempt | undefined {
		const reserve = task.promptTokens + task.output;
		if (this.#memory.used + reserve > this.#settings.memory || this.#attempts.has(task.id)) {
			return undefined;
		}

		const attempt = new Attempt(task, exported.offset);
		this.#attempts.set(task.id, attempt);
		this.#batch.add({
			id: task.id,
			priority: 0,
			promptTokens: task.promptTokens,
			reservedTokens: reserve,
			output: task.output,
			produced: exported.offset,
			isPrefilled: true,
			blocks: [],
		});
		return attempt;
	}

	/** Stops all work until {@link resume}. */
	pause(): void {
		this.#batch.pause();
	}

	resume(): void {
		this.#batch.resume();
	}

	[Symbol.dispose](): void {
		this.#batch[Symbol.dispose]();
		this.#history[Symbol.dispose]();
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}
	}

	#findRefusal(run: RunRequest): Refusal | undefined {
		const {task, holds} = run;
		if (this.orders.current === undefined || this.orders.loading !== undefined) {
			return {status: 503, type: 'not-ready', message: 'the engine is loading or holds no model'};
		}

		if (this.#attempts.has(task.id)) {
			return {status: 409, type: 'attempt-exists', message: 'the attempt id was used before'};
		}

		if (holds.length > 0) {
			return this.#holds.findFirst(holds) === undefined
				? {status: 409, type: 'hold-gone', message: 'none of the holds is here'}
				: undefined;
		}

		return task.promptTokens + task.output > this.#settings.memory
			? {status: 413, type: 'too-long', message: 'prompt and answer do not fit into memory'}
			: undefined;
	}

	/** A request with a local hold decodes into the hold's free tokens first and reserves only the rest. */
	#calculateReservation({task, holds}: RunRequest): number {
		const localHold = this.#holds.findFirst(holds);
		return localHold === undefined
			? task.promptTokens + task.output
			: Math.max(task.output - this.#holds.getFreeTokens(localHold), 0);
	}

	#scheduleCancel(id: string, timeout: number | undefined): void {
		if (timeout !== undefined) {
			this.#schedule(timeout, () => {
				this.cancel(id);
			});
		}
	}

	/** Removes the attempt after the retention time, until which its id can't be used again. */
	#scheduleRemoval(id: string): void {
		this.#runs.delete(id);
		this.#schedule(this.#settings.retention / this.#options.timeScale, () => {
			this.#attempts.delete(id);
		});
		this.#notifyDrainWaiters();
	}

	#schedule(milliseconds: number, action: () => void): void {
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			action();
		}, milliseconds).unref();
		this.#timers.add(timer);
	}

	#handleStarted(job: Job, cachedTokens: number): void {
		this.#attempts.get(job.id)?.start(cachedTokens);
		const run = this.#runs.get(job.id);
		if (run === undefined) {
			return;
		}

		const {log} = this.#options;
		log.add({...run.execution, incarnation: this.incarnation});
		log.count('promptTokens', job.promptTokens);
		log.count('cachedTokens', cachedTokens);
		run.onStart();
	}

	#handleAdvanced(job: Job, produced: number): void {
		const attempt = this.#attempts.get(job.id);
		if (attempt !== undefined) {
			attempt.advance(produced);
			this.#advancedAttempts.add(attempt);
		}
	}

	#handleFinished(job: Job): void {
		const segment = job.id.startsWith('segment ') ? job.id.slice('segment '.length) : undefined;
		if (segment !== undefined) {
			this.#segments.get(segment)?.resolve(true);
			this.#segments.delete(segment);
			return;
		}

		this.#attempts.get(job.id)?.end('finished');
		this.#options.log.count('finished');
		this.#scheduleRemoval(job.id);
	}

	#handleSettled(): void {
		for (const attempt of this.#advancedAttempts) {
			attempt.notifySubscribers();
		}

		this.#advancedAttempts.clear();
	}

	async #waitForDrain(): Promise<void> {
		if (this.#batch.running + this.#batch.waiting === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#drainWaiters.push(resolve);
		});
	}

	#notifyDrainWaiters(): void {
		if (this.#batch.running + this.#batch.waiting > 0) {
			return;
		}

		const waiters = this.#drainWaiters;
		this.#drainWaiters = [];
		for (const resolve of waiters) {
			resolve();
		}
	}

	#measureLoad(): Omit<EngineLoad, 'age'> {
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
