/** Chooses the hosts that are asked, in turn, for a connection to an upstream that this host doesn't reach. */
import {hashText, mixHashes} from '../../utils/hashes.js';
import {type LinkedUpstream} from './links.js';

/** Time in milliseconds for which a host that gave no connection to a failure domain is asked after the others. */
const refusalMemoryMs = 1000;

/** A host that offers connections. */
export type TunnelPeer = {
	readonly name: string;
	readonly failureDomain: string;
};

export class TunnelRefusals {
	/** Times of the last refusals, by host and failure domain of the upstream. */
	readonly #refusedAt = new Map<string, number>();

	/**
	 * @param peer - Name of a host.
	 * @param domain - Failure domain of an upstream that it gave no connection to.
	 * @param now - Time in milliseconds.
	 */
	record(peer: string, domain: string, now: number): void {
		for (const [key, at] of this.#refusedAt) {
			if (now - at >= refusalMemoryMs) {
				this.#refusedAt.delete(key);
			}
		}

		this.#refusedAt.set(`${peer} ${domain}`, now);
	}

	/**
	 * @param peer - Name of a host.
	 * @param domain - Failure domain of an upstream.
	 * @param now - Time in milliseconds.
	 * @returns Whether the host has refused a connection there a short time ago.
	 */
	isRecent(peer: string, domain: string, now: number): boolean {
		return now - (this.#refusedAt.get(`${peer} ${domain}`) ?? Number.NEGATIVE_INFINITY) < refusalMemoryMs;
	}
}

/** Rank of a host: lower is asked first. */
function rank(peer: TunnelPeer, {failureDomain}: LinkedUpstream, ownDomain: string, refusals: TunnelRefusals, now: number): number {
	// Over another domain than these two, the bytes cross a border twice.
	const isDetour = peer.failureDomain !== ownDomain && peer.failureDomain !== failureDomain;
	return (refusals.isRecent(peer.name, failureDomain, now) ? 2 : 0) + (isDetour ? 1 : 0);
}

/**
 * @param peers - Linked hosts that offer connections.
 * @param upstream - Upstream.
 * @param options - Failure domain of this host, former refusals, a number that differs between requests, and the time in milliseconds.
 * @returns The hosts in the order in which they are asked. Equal ones take turns, and the second is of another failure domain if possible:
 * hosts of one domain tend to lose their links together.
 */
export function rankTunnelPeers<T extends TunnelPeer>(peers: readonly T[], upstream: LinkedUpstream, {ownDomain, refusals, turn, now}: {
	readonly ownDomain: string;
	readonly refusals: TunnelRefusals;
	readonly turn: number;
	readonly now: number;
}): readonly T[] {
	const ranked = peers
		.map(peer => ({peer, rank: rank(peer, upstream, ownDomain, refusals, now), order: mixHashes(hashText(peer.name), turn)}))
		.toSorted((a, b) => a.rank - b.rank || a.order - b.order)
		.map(each => each.peer);
	const [first] = ranked;
	const second = ranked.find(each => each.failureDomain !== first?.failureDomain);
	return first === undefined || second === undefined ? ranked : [first, second, ...ranked.filter(each => each !== first && each !== second)];
}
