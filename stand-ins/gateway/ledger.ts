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

	get runs(): readonly Run[] {
		return this.#runs;
	}

	/**
	 * @param request - Id of the request.
	 * @param upstream - Id of the upstream that ran it.
	 */
	record(request: string, upstream: string, incoming: IncomingMessage, body: string): void {
		this.#runs.push({
			request, upstream, method: incoming.method ?? '', path: incoming.url ?? '', headers: {...incoming.headers}, body, at: performance.now(),
		});
	}

	/**
	 * @param request - Id of a request.
	 * @returns Its runs in order.
	 */
	findRuns(request: string): readonly Run[] {
		return this.#runs.filter(run => run.request === request);
	}
}
