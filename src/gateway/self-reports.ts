/** Keeps what upstreams report about themselves in their responses, and logs each change. */
import {type Log} from '../entry/logs.js';
import {type SelfReport} from './platform-adapter.js';

export class SelfReports {
	readonly #log: Pick<Log, 'write'>;
	/** Rate limits in requests per second, by upstream. */
	readonly #rateLimits = new Map<string, number>();

	/**
	 * @param log - Log of all changes.
	 */
	constructor(log: Pick<Log, 'write'>) {
		this.#log = log;
	}

	/** Number of upstreams that limit the rate of requests. */
	get limitedCount(): number {
		return this.#rateLimits.size;
	}

	/**
	 * @param upstream - Upstream that responded.
	 * @param report - Its report.
	 */
	record(upstream: string, {rateLimit}: SelfReport): void {
		const before = this.#rateLimits.get(upstream);
		if (rateLimit === before) {
			return;
		}

		this.#log.write({
			event: 'upstream-limit', upstream, rate: rateLimit, before,
		});
		if (rateLimit === undefined) {
			this.#rateLimits.delete(upstream);
		} else {
			this.#rateLimits.set(upstream, rateLimit);
		}
	}

	/**
	 * @param upstream - Upstream that was restarted or removed.
	 */
	forgetUpstream(upstream: string): void {
		this.#rateLimits.delete(upstream);
	}
}
