/** Records what all upstreams of a test ran, so that tests can check the guarantees given to callers. */
import {type IncomingMessage} from 'node:http';

/** One execution of a request at an upstream. */
export type Run = {
	readonly request: string;
	readonly upstream: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: string;
	/** Monotonic time in milliseconds. */
	readonly at: number;
};

export class Ledger {
	readonly #runs: Run[] = [];
	/** Engines that have begun to work on a request, by request. */
	readonly #beginnings = new Map<string, Set<string>>();
	readonly #onRun: ((run: Run) => void) | undefined;

	/**
	 * @param onRun - Called with each run.
	 */
	constructor(onRun?: (run: Run) => void) {
		this.#onRun = onRun;
	}

	get runs(): readonly Run[] {
		return this.#runs;
	}

	/**
	 * @param request - Id of the request.
	 * @param upstream - Id of the upstream that ran it.
	 */
	record(request: string, upstream: string, incoming: IncomingMessage, body: string): void {
		this.add({
			request, upstream, method: incoming.method ?? '', path: incoming.url ?? '', headers: {...incoming.headers}, body, at: performance.now(),
		});
	}

	/**
	 * @param run - Run, also one at an upstream in another process.
	 */
	add(run: Run): void {
		this.#runs.push(run);
		this.#onRun?.(run);
	}

	/**
	 * @param request - Id of a request that has left the queue of an engine.
	 * @param engine - Id of the engine.
	 */
	recordBeginning(request: string, engine: string): void {
		const engines = this.#beginnings.get(request) ?? new Set();
		engines.add(engine);
		this.#beginnings.set(request, engines);
	}

	/**
	 * @param request - Id of a request.
	 * @returns Engines that have begun to work on it, and did more than queue it.
	 */
	findBeginnings(request: string): readonly string[] {
		return [...this.#beginnings.get(request) ?? []];
	}

	/**
	 * @param request - Id of a request.
	 * @returns Its runs in order.
	 */
	findRuns(request: string): readonly Run[] {
		return this.#runs.filter(run => run.request === request);
	}
}
