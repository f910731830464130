/** Reads what the engines of this host's failure domain publish, at a cost that does not grow with their number. */
import {
	ownEngines,
	readingsDue,
	type Engine,
	type Event,
	type State,
} from '../../core/index.js';
import {readCacheEvents, readHolds, readReport} from '../../upstream/control.js';
import {type Clock} from '../clock.js';
import {Loop} from './loop.js';

/** The most load reports that one host asks for in a second. */
const reportsPerSecond = 8;

/** Turns of reading a report between two readings of cache events, and of holds. */
const turnsPerCacheReading = 8;
const turnsPerListing = 16;

const millisecondsPerSecond = 1000;

/** A cursor in one engine's cache events. */
type Cursor = {
	readonly incarnation: string;
	readonly next: number;
};

/** What the watch needs of the daemon. */
export type Outlook = {
	readonly clock: Clock;
	/** Milliseconds between two reports of one engine, while there are few engines. */
	readonly interval: number;
	readonly state: () => State;
	readonly dispatch: (event: Event) => void;
};

export class UpstreamWatch implements AsyncDisposable {
	readonly #outlook: Outlook;
	readonly #cursors = new Map<string, Cursor>();
	readonly #busy = new Set<string>();
	/** Monotonic time of the last reading of each engine, answered or not. */
	readonly #asked = new Map<string, number>();
	readonly #loop: Loop;
	#turn = 0;

	/**
	 * @param outlook - Parts of the daemon.
	 */
	constructor(outlook: Outlook) {
		this.#outlook = outlook;
		this.#loop = new Loop(async () => this.#next());
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#loop[Symbol.asyncDispose]();
	}

	async #next(): Promise<number> {
		const {clock, interval, state} = this.#outlook;
		const now = clock.now();
		const engine = readingsDue(state(), now, interval)
			.find(({id}) => !this.#busy.has(id) && now - (this.#asked.get(id) ?? 0) >= interval);
		if (engine !== undefined) {
			this.#asked.set(engine.id, now);
			// A slow engine does not hold up the others.
			void this.#ask(engine, async () => this.#report(engine));
		}

		this.#turn++;
		this.#readInTurn(turnsPerCacheReading, async engine => this.#followCache(engine));
		this.#readInTurn(turnsPerListing, async engine => this.#listHolds(engine));
		return millisecondsPerSecond / reportsPerSecond;
	}

	#readInTurn(turns: number, read: (engine: Engine) => Promise<void>): void {
		const engines = ownEngines(this.#outlook.state());
		const engine = engines[(this.#turn / turns) % Math.max(engines.length, 1)];
		if (this.#turn % turns === 0 && engine !== undefined) {
			void this.#ask(engine, async () => read(engine));
		}
	}

	async #ask({id}: Engine, read: () => Promise<void>): Promise<void> {
		this.#busy.add(id);
		try {
			await read();
		} catch {
			this.#outlook.dispatch({type: 'upstream-unreachable', upstream: id});
		} finally {
			this.#busy.delete(id);
		}
	}

	async #report({id, address}: Engine): Promise<void> {
		this.#outlook.dispatch({type: 'report-received', report: await readReport(id, address)});
	}

	async #listHolds({id, address}: Engine): Promise<void> {
		const holds = await readHolds(id, address);
		this.#outlook.dispatch({type: 'holds-listed', upstream: id, holds});
	}

	async #followCache({id, address}: Engine): Promise<void> {
		const cursor = this.#cursors.get(id);
		const {incarnation, next, gap, changes} = await readCacheEvents(address, cursor?.next ?? 0);
		this.#cursors.set(id, {incarnation, next});
		const isRestarted = cursor !== undefined && cursor.incarnation !== incarnation;
		if (changes.length > 0 || gap || isRestarted) {
			this.#outlook.dispatch({
				type: 'cache-changed',
				upstream: id,
				incarnation,
				changes,
				gap: gap || isRestarted,
			});
		}
	}
}
