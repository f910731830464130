/** Upstreams that stated in a response that they leave. A departure is final: it ends only with the process of the upstream. */
import {dropOldest} from '../../utils/bounded.js';
import {type UpstreamProcess} from '../types.js';

/** Departures kept, including those of upstreams that aren't registered any more: a registration that has lapsed may come back. */
const maxDepartures = 512;

export class Departures {
	/** Start of the leaving process by upstream, the oldest departure first. */
	readonly #starts = new Map<string, number | undefined>();

	get all(): readonly UpstreamProcess[] {
		return [...this.#starts].map(([upstream, started]) => ({upstream, started}));
	}

	/**
	 * @param process - Process that leaves, as reported to this host or to a peer.
	 * @returns Whether its departure is new. That of an earlier process of the upstream is not.
	 */
	record({upstream, started}: UpstreamProcess): boolean {
		const known = this.#starts.get(upstream);
		if (this.#starts.has(upstream) && (known === started || (known ?? 0) > (started ?? 0))) {
			return false;
		}

		this.#starts.delete(upstream);
		this.#starts.set(upstream, started);
		dropOldest(this.#starts, maxDepartures);

		return true;
	}

	/**
	 * @param process - Process of an upstream.
	 * @returns Whether it leaves.
	 */
	isLeaving({upstream, started}: UpstreamProcess): boolean {
		return this.#starts.has(upstream) && this.#starts.get(upstream) === started;
	}
}
