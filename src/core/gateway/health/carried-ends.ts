/** Remembers for a short time how connections to upstreams ended that this host carried for others. */
import {dropOldest} from '../../utils/bounded.js';
import {type LinkedUpstream} from './links.js';

/** Ends in memory. */
const maxEnds = 2000;

/** Time in milliseconds for a host to ask how its connection ended. */
const questionMs = 300;

/** End of a connection to an upstream. */
export type RecordedEnd<T extends LinkedUpstream = LinkedUpstream> = {
	readonly upstream: T;
	/** Whether it ended without a reset. */
	readonly isProper: boolean;
	/** Time in milliseconds. */
	readonly at: number;
};

export class CarriedEnds<T extends LinkedUpstream = LinkedUpstream> {
	/** By tunnel, the oldest first. */
	readonly #ends = new Map<string, RecordedEnd<T>>();
	#lastAt = Number.NEGATIVE_INFINITY;

	/**
	 * Records an end; what follows on the same connection changes nothing.
	 *
	 * @param tunnel - Tunnel, unique among those of all hosts.
	 * @param end - How its connection to the upstream ended.
	 */
	record(tunnel: string, end: RecordedEnd<T>): void {
		if (!this.#ends.has(tunnel)) {
			this.#ends.set(tunnel, end);
			this.#lastAt = end.at;
			dropOldest(this.#ends, maxEnds);
		}
	}

	/**
	 * @param tunnel - Tunnel.
	 * @returns How its connection ended; undefined if that isn't known.
	 */
	get(tunnel: string): RecordedEnd<T> | undefined {
		return this.#ends.get(tunnel);
	}

	/**
	 * @param now - Time in milliseconds.
	 * @returns Whether a host may still be about to ask for an end.
	 */
	hasRecent(now: number): boolean {
		return now - this.#lastAt < questionMs;
	}
}
