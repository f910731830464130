/** How far upstreams can be trusted, from how attempts ended. */
import {assertNever} from '../utils/common.js';
import {type AttemptEnding} from './retries.js';

/** Half of what was seen counts no more after this time, in milliseconds: engines that crash are back within 3 to 5 s. */
const halfLifeMs = 2500;

/** Attempts that an unknown upstream is taken to have had, and the failed part of them. */
const priorAttempts = 4;
const priorFailures = 0.04;

/**
 * Milliseconds that an upstream is left alone after a connection to it failed; doubled each time, up to the most. One that was replaced
 * is left alone for the most: its registration is about to change.
 */
const minBackoffMs = 250;
const maxBackoffMs = 2000;

/** What an attempt says of its upstream. */
export type Verdict
	/** It answered. */
	= | 'sound'
	/** It answered with a failure or refused without need. */
		| 'faulty'
	/** Its connection broke before the answer was whole. */
		| 'broken'
	/** Another process answers at its address. */
		| 'replaced'
	/** No connection could be made, or it fell silent. */
		| 'unreachable';

/**
 * @param ending - How an attempt ended.
 * @returns What it says of its upstream, if anything.
 */
export function verdictOf(ending: AttemptEnding): Verdict | undefined {
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
			return ending.reason === 'silent' ? 'unreachable' : undefined;
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
	/** Failed connections in a row. */
	consecutiveFailures: number;
	backedOffUntil: number;
};

/** Failures of upstreams, forgotten with time. */
export class Health {
	readonly #entries = new Map<string, HealthRecord>();

	/**
	 * @param upstream - Upstream.
	 * @param verdict - What an attempt says of it.
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
	 * @param upstream - Upstream that has started anew or is gone.
	 */
	forget(upstream: string): void {
		this.#entries.delete(upstream);
	}

	/**
	 * @param upstream - Upstream.
	 * @param now - Time in milliseconds.
	 * @returns Share of attempts that are expected to fail there, 0 to 1.
	 */
	risk(upstream: string, now: number): number {
		const {attempts, failures} = this.#decayed(upstream, now);
		return (failures + priorFailures) / (attempts + priorAttempts);
	}

	/**
	 * @param upstream - Upstream.
	 * @param now - Time in milliseconds.
	 * @returns Whether it is left alone for now.
	 */
	isPaused(upstream: string, now: number): boolean {
		return (this.#entries.get(upstream)?.backedOffUntil ?? 0) > now;
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
