/** Reads what the engines of this host's failure domain publish. */
import {type Engine, type Event, type State} from '../../core/index.js';
import {readCacheEvents, readHolds, readReport} from '../../upstream/control.js';
import {Loop} from './loop.js';

/** The most load reports that one host asks for in a second. */
const readingsPerSecond = 24;

/** Load reports of an engine between two listings of its holds. */
const reportsPerListing = 8;

const millisecondsPerSecond = 1000;

/** A cursor in one engine's cache events. */
type Cursor = {
	readonly incarnation: string;
	readonly next: number;
};

function ownEngines(state: State): readonly Engine[] {
	return (state.configuration.inForce?.upstreams ?? [])
		.filter(upstream => upstream.kind === 'engine')
		.filter(engine => engine.failureDomain === state.self.failureDomain);
}

/** Asks one engine after another, so that the cost does not grow with their number. */
export class UpstreamWatch implements AsyncDisposable {
	readonly #state: () => State;
	readonly #dispatch: (event: Event) => void;
	readonly #interval: number;
	readonly #cursors = new Map<string, Cursor>();
	readonly #busy = new Set<string>();
	readonly #reports = new Map<string, number>();
	readonly #loop: Loop;
	#position = 0;

	/**
	 * @param interval - Milliseconds between two reports of one engine, while there are few engines.
	 * @param state - Reads the core's state.
	 * @param dispatch - Tells the core.
	 */
	constructor(interval: number, state: () => State, dispatch: (event: Event) => void) {
		this.#interval = interval;
		this.#state = state;
		this.#dispatch = dispatch;
		this.#loop = new Loop(async () => this.#turn());
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#loop[Symbol.asyncDispose]();
	}

	async #turn(): Promise<number> {
		const engines = ownEngines(this.#state());
		const engine = engines[this.#position % Math.max(engines.length, 1)];
		this.#position++;
		if (engine === undefined) {
			return this.#interval;
		}

		// A slow engine does not hold up the others.
		if (!this.#busy.has(engine.id)) {
			void this.#ask(engine);
		}

		return Math.max(this.#interval / engines.length, millisecondsPerSecond / readingsPerSecond);
	}

	async #ask(engine: Engine): Promise<void> {
		this.#busy.add(engine.id);
		try {
			const report = await readReport(engine.id, engine.address);
			this.#dispatch({type: 'report-received', report});
			await this.#followCache(engine);
			await this.#listHolds(engine);
		} catch {
			this.#dispatch({type: 'upstream-unreachable', upstream: engine.id});
		} finally {
			this.#busy.delete(engine.id);
		}
	}

	async #listHolds(engine: Engine): Promise<void> {
		const reports = this.#reports.get(engine.id) ?? 0;
		this.#reports.set(engine.id, reports + 1);
		if (reports % reportsPerListing === 0) {
			const holds = await readHolds(engine.id, engine.address);
			this.#dispatch({type: 'holds-listed', upstream: engine.id, holds});
		}
	}

	async #followCache(engine: Engine): Promise<void> {
		const cursor = this.#cursors.get(engine.id);
		const {incarnation, next, gap, changes} = await readCacheEvents(engine.address, cursor?.next ?? 0);
		this.#cursors.set(engine.id, {incarnation, next});
		const isRestarted = cursor !== undefined && cursor.incarnation !== incarnation;
		if (changes.length > 0 || gap || isRestarted) {
			this.#dispatch({
				type: 'cache-changed',
				upstream: engine.id,
				incarnation,
				changes,
				gap: gap || isRestarted,
			});
		}
	}
}
