/** Remembers which upstreams have been removed, so that a store that returns from a backup doesn't bring them back. */
import {type GatewayUpstream} from '../types.js';
import {isLaterStart} from './registration-order.js';

/** Longest list of removals; the oldest are forgotten first. */
const maxRemovals = 2048;

type Removal = {
	readonly upstream: GatewayUpstream;
	/** Era of the store in which the upstream was removed. */
	readonly era: number;
};

export class Removals {
	readonly #byId = new Map<string, Removal>();

	/**
	 * @param upstream - Last registration of an upstream that was removed.
	 * @param era - Era of the store in which it was removed.
	 */
	add(upstream: GatewayUpstream, era: number): void {
		this.#byId.delete(upstream.id);
		this.#byId.set(upstream.id, {upstream, era});
		if (this.#byId.size > maxRemovals) {
			const [oldest] = this.#byId.keys();
			this.#byId.delete(oldest!);
		}
	}

	delete(id: string): void {
		this.#byId.delete(id);
	}

	/**
	 * @param upstream - Registration in a listing of the store.
	 * @param era - Era of the listing.
	 * @returns Whether the listing undoes the removal of the upstream, which has not restarted since. The number of a registration is no
	 * evidence here, as not every host knows the last one before the removal.
	 */
	isUndone(upstream: GatewayUpstream, era: number): boolean {
		const removal = this.#byId.get(upstream.id);
		return removal !== undefined && removal.era < era && upstream.era !== era && !isLaterStart(upstream, removal.upstream);
	}
}
