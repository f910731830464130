/** Tracks the health of upstreams from how attempts ended: failure probability and backoff. */
import {assertNever} from '../../utils/common.js';
import {type AttemptEnding} from '../limits/retries.js';
import {SilentUpstreams} from './silent-upstreams.js';

/** Half-life of recorded attempts, in milliseconds: engines that crash are back within 3 to 5 s. */
const halfLifeMs = 2500;

/** Share of attempts that fail without a reason that lies in the upstream, also at those that have always answered. */
const baseProbability = 0.01;

/** Successful attempts that an upstream is assumed to have had. */
const assumedAttempts = 4;

/**
 * Backoff after a failed connection, in milliseconds; doubles with each failure up to the maximum. An upstream that was replaced is
 * backed off for the maximum, as its registration is about to change.
 */
const minBackoffMs = 250;
const maxBackoffMs = 2000;

/** What the ending of an attempt shows about its upstream. */
export type Verdict
	/** It answered. */
	= | 'sound'
	/** It answered with an error, or refused the request without need. */
		| 'faulty'
	/** Its connection broke before the answer was complete. */
		| 'broken'
	/** Another process answers at its address. */
		| 'replaced'
	/** No connection could be made. */
		| 'unreachable';

/**
 * @param ending - How an attempt ended.
 * @returns What it shows about the upstream, or undefined if nothing.
 */
export function endingToVerdict(ending: AttemptEnding): Verdict | undefined {
	switch (ending.type) {
		case 'answered': {
			return 'sound';
		}

		case 'not-run':
		case 'failed': {
			return 'faulty';
		}

		case 'unknown': {
			return 'broken';
		}

		case 'cancelled': {
			return undefined;
		}

		default: {
			return assertNever(ending);
		}
	}
}

type HealthRecord = {
	attempts: number;
	failures: number;
	at: number;
	/** Consecutive failed connections. */
	consecutiveFailures: number;
	backedOffUntil: number;
};

/** Failure records of upstreams, which decay with time. */
export class Health {
	readonly silent = new SilentUpstreams();
	readonly #entries = new Map<string, HealthRecord>();

	/**
	 * @param upstream - Upstream.
	 * @param verdict - What an attempt showed about it.
	 * @param now - Time in milliseconds.
	 */
	record(upstream: string, verdict: Verdict, now: number): void {
		const entry = this.#decayed(upstream, now);
		entry.attempts++;
		entry.failures += verdict === 'sound' ? 0 : 1;
		switch (verdict) {
			case 'sound': {
				entry.consecutiveFailures = 0;
				entry.backedOffUntil = 0;
				break;
			}

			case 'unreachable': {
				entry.backedOffUntil = now + Math.min(minBackoffMs * (2 ** entry.consecutiveFailures), maxBackoffMs);
				entry.consecutiveFailures++;
				break;
			}

			case 'replaced': {
				entry.backedOffUntil = now + maxBackoffMs;
				break;
			}

			case 'broken':
			case 'faulty': {
				break;
			}

			default: {
				assertNever(verdict);
			}
		}

		this.#entries.set(upstream, entry);
	}

	/**
	 * @param upstream - Upstream that has restarted or is no longer registered.
	 */
	forget(upstream: string): void {
		this.#entries.delete(upstream);
		this.silent.forget(upstream);
	}

	/**
	 * Answers outweigh failures, but don't make an upstream safer than an unused one: requests would be kept there.
	 *
	 * @param upstream - Upstream.
	 * @param now - Time in milliseconds.
	 * @returns Expected share of attempts that fail there, 0 to 1.
	 */
	failureProbability(upstream: string, now: number): number {
		const {attempts, failures} = this.#decayed(upstream, now);
		const unanswered = this.silent.computeWeight(upstream, now);
		const failed = (failures + unanswered) / (attempts + unanswered + assumedAttempts);
		return baseProbability + ((1 - baseProbability) * failed);
	}

	/**
	 * @param upstream - Upstream.
	 * @param now - Time in milliseconds.
	 * @returns Whether it is backed off now.
	 */
	isBackedOff(upstream: string, now: number): boolean {
		return (this.#entries.get(upstream)?.backedOffUntil ?? 0) > now || this.silent.isBackedOff(upstream, now);
	}

	#decayed(upstream: string, now: number): HealthRecord {
		const entry = this.#entries.get(upstream);
		if (entry === undefined) {
			return {
				attempts: 0, failures: 0, at: now, consecutiveFailures: 0, backedOffUntil: 0,
			};
		}

		const kept = 0.5 ** ((now - entry.at) / halfLifeMs);
		return {
			...entry, attempts: entry.attempts * kept, failures: entry.failures * kept, at: now,
		};
	}
}
