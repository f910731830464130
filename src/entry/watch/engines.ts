/**
 * Reads load reports, cache events and holds from the engines of this host's failure domain, at a rate that does not grow with
 * the number of engines.
 */
import {
	getOwnEngines,
	findEnginesDue,
	type Engine,
	type Event,
	type State,
} from '../../core/index.js';
import {readCacheEvents, readHolds, readLoadReport} from '../../upstream/control.js';
import {type Clock} from '../clock.js';
import {Loop} from './loop.js';

/** Maximum number of load reports that one host requests per second, over all engines. */
const maxReportsPerSecond = 8;

/** Iterations between two reads of cache events, and between two reads of holds. */
const iterationsPerCacheRead = 8;
const iterationsPerHoldsRead = 16;

const millisecondsPerSecond = 1000;

/** Position in one engine's cache events. */
type CacheCursor = {
	readonly incarnation: string;
	readonly next: number;
};

export type EnginePollerOptions = {
	readonly clock: Clock;
	/** Minimum milliseconds between two report requests to one engine; longer with many engines, due to the overall rate limit. */
	readonly interval: number;
	readonly state: () => State;
	readonly dispatch: (event: Event) => void;
};

export class EnginePoller implements AsyncDisposable {
	readonly #options: EnginePollerOptions;
	readonly #cacheCursors = new Map<string, CacheCursor>();
	readonly #busyEngines = new Set<string>();
	/** Monotonic time of the last report request to each engine, answered or not. */
	readonly #lastReportRequests = new Map<string, number>();
	readonly #loop: Loop;
	#iteration = 0;

	constructor(options: EnginePollerOptions) {
		this.#options = options;
		this.#loop = new Loop(async () => this.#iterate());
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#loop[Symbol.asyncDispose]();
	}

	async #iterate(): Promise<number> {
		const {clock, interval, state} = this.#options;
		const now = clock.now();
		const engine = findEnginesDue(state(), now, interval)
			.find(({id}) => !this.#busyEngines.has(id) && now - (this.#lastReportRequests.get(id) ?? 0) >= interval);
		if (engine !== undefined) {
			this.#lastReportRequests.set(engine.id, now);
			// Not awaited, so that a slow engine doesn't delay the others.
			void this.#runRead(engine, async () => this.#readReport(engine));
		}

		this.#iteration++;
		this.#readRoundRobin(iterationsPerCacheRead, async engine => this.#readCacheEvents(engine));
		this.#readRoundRobin(iterationsPerHoldsRead, async engine => this.#readHolds(engine));
		return millisecondsPerSecond / maxReportsPerSecond;
	}

	#readRoundRobin(iterations: number, read: (engine: Engine) => Promise<void>): void {
		const engines = getOwnEngines(this.#options.state());
		const engine = engines[(this.#iteration / iterations) % Math.max(engines.length, 1)];
		if (this.#iteration % iterations === 0 && engine !== undefined) {
			void this.#runRead(engine, async () => read(engine));
		}
	}

	async #runRead({id}: Engine, read: () => Promise<void>): Promise<void> {
		this.#busyEngines.add(id);
		try {
			await read();
		} catch {
			this.#options.dispatch({type: 'upstream-unreachable', upstream: id});
		} finally {
			this.#busyEngines.delete(id);
		}
	}

	async #readReport({id, address}: Engine): Promise<void> {
		this.#options.dispatch({type: 'report-received', report: await readLoadReport(id, address)});
	}

	async #readHolds({id, address}: Engine): Promise<void> {
		const holds = await readHolds(id, address);
		this.#options.dispatch({type: 'holds-listed', upstream: id, holds});
	}

	async #readCacheEvents({id, address}: Engine): Promise<void> {
		const cursor = this.#cacheCursors.get(id);
		const {incarnation, next, gap, changes} = await readCacheEvents(address, cursor?.next ?? 0);
		this.#cacheCursors.set(id, {incarnation, next});
		const isRestarted = cursor !== undefined && cursor.incarnation !== incarnation;
		if (changes.length > 0 || gap || isRestarted) {
			this.#options.dispatch({
				type: 'cache-changed',
				upstream: id,
				incarnation,
				changes,
				gap: gap || isRestarted,
			});
		}
	}
}
