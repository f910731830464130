/**
 * Decides whether this host reaches an upstream over its own link. Only a connection that failed here while another host connected shows
 * that the link is cut: an upstream that is gone fails everywhere, and one that is merely silent still accepts connections.
 */

/** How a connection over the own link failed. */
export type LinkFailure
	/** It was refused: connections that are already open may live on. */
	= | 'refused'
	/** Nothing came back: connections that are already open hang as well. */
		| 'silent';

/** How to connect to an upstream. */
export type LinkRoute
	= | {readonly type: 'direct'}
	/** Over another host. */
		| {readonly type: 'tunnel'; readonly failure: LinkFailure};

/** Cut upstreams of one failure domain after which its others are presumed to be cut. */
const domainThreshold = 2;

/** Cut upstreams, of two failure domains or more, after which all upstreams are presumed to be cut. */
const hostThreshold = 3;

/** Milliseconds between two checks of cut links, and after one that found a link restored. */
const checkIntervalMs = 400;
const restoredCheckIntervalMs = 50;

/** Time in milliseconds for which a restored link speeds up the checks of the others, and links that are then checked at once. */
const restorationMs = 1500;
const restoredChecks = 8;

const direct: LinkRoute = {type: 'direct'};

type Cut = {
	readonly domain: string;
	readonly failure: LinkFailure;
	/** Time in milliseconds. */
	readonly since: number;
};

/** An upstream and its failure domain. */
export type LinkedUpstream = {
	readonly id: string;
	readonly failureDomain: string;
};

export class Links {
	readonly #cuts = new Map<string, Cut>();
	/** Times of the last connections over own links, by failure domain. */
	readonly #connectedAt = new Map<string, number>();
	#checkedAt = Number.NEGATIVE_INFINITY;
	#restoredAt = Number.NEGATIVE_INFINITY;
	#checkOffset = 0;

	/** Whether any link is cut. */
	get hasCuts(): boolean {
		return this.#cuts.size > 0;
	}

	/** Number of upstreams whose links are cut. */
	get cutCount(): number {
		return this.#cuts.size;
	}

	/**
	 * Records a new connection over the own link.
	 *
	 * @param upstream - Upstream.
	 * @param now - Time in milliseconds.
	 * @returns Whether its link was cut until now.
	 */
	recordConnection({id, failureDomain}: LinkedUpstream, now: number): boolean {
		this.#connectedAt.set(failureDomain, now);
		const wasCut = this.#cuts.delete(id);
		if (wasCut) {
			this.#restoredAt = now;
		}

		return wasCut;
	}

	/**
	 * Records that another host connected to an upstream and this one couldn't.
	 *
	 * @param upstream - Upstream.
	 * @param failure - How the connection over the own link failed.
	 * @param now - Time in milliseconds.
	 * @returns Whether its link wasn't known to be cut.
	 */
	recordCut({id, failureDomain}: LinkedUpstream, failure: LinkFailure, now: number): boolean {
		const isNew = !this.#cuts.has(id);
		if (isNew) {
			this.#cuts.set(id, {domain: failureDomain, failure, since: now});
			this.#checkedAt = Math.max(this.#checkedAt, now);
		}

		return isNew;
	}

	/**
	 * @param upstream - Id of an upstream that no host connects to, or that was removed.
	 */
	forget(upstream: string): void {
		this.#cuts.delete(upstream);
	}

	/**
	 * @param upstream - Upstream.
	 * @returns How to connect to it.
	 */
	findRoute({id, failureDomain}: LinkedUpstream): LinkRoute {
		if (this.#cuts.size === 0) {
			return direct;
		}

		const own = this.#cuts.get(id);
		if (own !== undefined) {
			return {type: 'tunnel', failure: own.failure};
		}

		const failure = this.#presumeFailure(failureDomain);
		return failure === undefined ? direct : {type: 'tunnel', failure};
	}

	/**
	 * Selects links to check now, in turn.
	 *
	 * @param upstreams - Registered upstreams.
	 * @param now - Time in milliseconds.
	 * @returns Upstreams to connect to over the own link.
	 */
	selectChecks<T extends LinkedUpstream>(upstreams: readonly T[], now: number): readonly T[] {
		const isRestoring = now - this.#restoredAt < restorationMs;
		if (this.#cuts.size === 0 || now - this.#checkedAt < (isRestoring ? restoredCheckIntervalMs : checkIntervalMs)) {
			return [];
		}

		this.#checkedAt = now;
		const avoided = upstreams.filter(each => this.findRoute(each).type === 'tunnel');
		const count = Math.min(isRestoring ? restoredChecks : 1, avoided.length);
		const first = this.#checkOffset;
		this.#checkOffset += count;
		return Array.from({length: count}, (_, index) => avoided[(first + index) % avoided.length]!);
	}

	/** Returns how links to a failure domain fail if all of them are presumed to be cut. */
	#presumeFailure(domain: string): LinkFailure | undefined {
		const cuts = [...this.#cuts.values()];
		const ofDomain = cuts.filter(each => each.domain === domain);
		if (ofDomain.length >= domainThreshold && this.#isUnconnectedSince(ofDomain, domain)) {
			return ofDomain.at(-1)!.failure;
		}

		const domains = new Set(cuts.map(each => each.domain));
		const isHostCut = cuts.length >= hostThreshold && domains.size > 1 && [...this.#connectedAt.keys()].every(each => this.#isUnconnectedSince(cuts, each));
		return isHostCut ? cuts.at(-1)!.failure : undefined;
	}

	/** Whether no connection to a failure domain was made after the first of the cuts. */
	#isUnconnectedSince(cuts: readonly Cut[], domain: string): boolean {
		const first = Math.min(...cuts.map(each => each.since));
		return (this.#connectedAt.get(domain) ?? Number.NEGATIVE_INFINITY) <= first;
	}
}
