/** Writes and revokes orders to evacuate a failure domain, and checks that hosts kept to them. Times are monotonic milliseconds. */
import {type StoreStandIn} from '../../stand-ins/gateway/store.js';
import {type UpstreamStandIn} from '../../stand-ins/gateway/upstream.js';
import {type RequestRecord} from './guarantees.js';

/** Time after an order until no request may reach the domain, from a host that could read the store meanwhile. */
export const evacuationDelayMs = 5000;

/** Time within which an order was in the store. */
export type Evacuation = {
	readonly domain: string;
	readonly from: number;
	readonly to: number;
};

/** Time within which a host, or all of them, could not read the store. */
export type StoreGap = {
	/** Undefined for all hosts. */
	readonly host?: number;
	readonly from: number;
	readonly to: number;
};

type UpstreamHistory = Pick<UpstreamStandIn, 'arrivals' | 'failureDomain' | 'id'>;

/** The orders in a store. Several may concern the same domain: the last one to end revokes it. */
export class EvacuationOrders {
	readonly #store: StoreStandIn;
	readonly #counts = new Map<string, number>();
	readonly #begins = new Map<string, number>();
	readonly #ended: Evacuation[] = [];

	/**
	 * @param store - Store that the orders are written to.
	 */
	constructor(store: StoreStandIn) {
		this.#store = store;
	}

	/** When each order was in the store, up to now. */
	get history(): readonly Evacuation[] {
		return [...this.#ended, ...[...this.#begins].map(([domain, from]) => ({domain, from, to: performance.now()}))];
	}

	begin(domain: string): void {
		this.#counts.set(domain, (this.#counts.get(domain) ?? 0) + 1);
		this.write(domain);
	}

	end(domain: string): void {
		this.#counts.set(domain, (this.#counts.get(domain) ?? 0) - 1);
		this.write(domain);
	}

	/** Writes to the store whether a domain is evacuated. */
	write(domain: string): void {
		const key = `op/evacuate/${domain}`;
		if ((this.#counts.get(domain) ?? 0) > 0) {
			this.#store.put(key, {});
			this.#begins.set(domain, this.#begins.get(domain) ?? performance.now());
		} else {
			this.#store.remove(key);
			this.#close(domain);
		}
	}

	/** Records that the store may have lost the orders, as it has returned from a backup. */
	recordLoss(): void {
		for (const domain of this.#begins.keys()) {
			this.#close(domain);
		}
	}

	#close(domain: string): void {
		const from = this.#begins.get(domain);
		if (from !== undefined) {
			this.#ended.push({domain, from, to: performance.now()});
			this.#begins.delete(domain);
		}
	}
}

/** Returns when a host must keep to an order that stands since `from`: after the delay, in which it could read the store throughout. */
function findBound(host: number, from: number, gaps: readonly StoreGap[]): number {
	let since = from;
	for (const gap of gaps.filter(each => each.host === undefined || each.host === host).toSorted((a, b) => a.from - b.from)) {
		if (gap.from < since + evacuationDelayMs && gap.to > since) {
			since = gap.to;
		}
	}

	return since + evacuationDelayMs;
}

/** What happened to the orders. */
export type EvacuationHistory = {
	readonly evacuations: readonly Evacuation[];
	readonly gaps: readonly StoreGap[];
};

/**
 * @param upstreams - Upstreams with the requests that arrived there.
 * @param requests - Requests of the callers.
 * @param history - When each order was in the store, and when hosts could not read it.
 * @param lag - Longest event loop lag of this process, in milliseconds.
 * @returns A description of each request that reached an evacuated domain after the bound.
 */
export function findLateAtEvacuated(upstreams: readonly UpstreamHistory[], requests: readonly RequestRecord[], {evacuations, gaps}: EvacuationHistory, lag: number): readonly string[] {
	const hosts = new Map(requests.map(({id, host}) => [id, host]));
	return upstreams.flatMap(({id, failureDomain, arrivals}) => evacuations.filter(({domain}) => domain === failureDomain).flatMap(({from, to}) => {
		const bounds = new Map<number, number>();
		return arrivals.filter(({at}) => at > from + evacuationDelayMs && at < to).flatMap(({request, at}) => {
			const host = hosts.get(request);
			if (host === undefined) {
				return [];
			}

			const bound = bounds.get(host) ?? findBound(host, from, gaps);
			bounds.set(host, bound);
			return at > bound + lag ? [`${request} reached ${id} from host ${host} ${Math.round(at - from)} ms after the order to evacuate ${failureDomain}`] : [];
		});
	}));
}
