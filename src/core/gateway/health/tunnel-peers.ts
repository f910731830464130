/** Chooses the hosts that are asked for a connection to an upstream that this host doesn't reach. */
import {hashText, mixHashes} from '../../utils/hashes.js';
import {findLinkGroup, type LinkedUpstream, type LinkScope} from './links.js';

/** Time in milliseconds for which a host that gave no connection to a group of upstreams is asked after the others. */
const refusalMemoryMs = 1000;

/** The bytes of a tunnel over a third failure domain cross a border twice. */
const detourWeight = 0.25;

/** Tunnels that halve the weight of a host with one processor core. */
const halvingTunnels = 16;

const hashRange = 0x1_00_00_00_00;

/** A host that may give connections. */
export type TunnelPeer = {
	readonly name: string;
	readonly failureDomain: string;
	/** Processor cores, if it states them. */
	readonly capacity?: number;
	/** Tunnels that it serves, as it last said. */
	readonly tunnels?: number;
};

export class TunnelRefusals {
	/** Times of the last refusals, by host and group of upstreams. */
	readonly #refusedAt = new Map<string, number>();

	/**
	 * @param peer - Name of a host.
	 * @param group - Group of an upstream that it gave no connection to.
	 * @param now - Time in milliseconds.
	 */
	record(peer: string, group: string, now: number): void {
		for (const [key, at] of this.#refusedAt) {
			if (now - at >= refusalMemoryMs) {
				this.#refusedAt.delete(key);
			}
		}

		this.#refusedAt.set(`${peer} ${group}`, now);
	}

	/**
	 * @param peer - Name of a host that gives connections there again.
	 * @param group - Group of upstreams.
	 */
	forget(peer: string, group: string): void {
		this.#refusedAt.delete(`${peer} ${group}`);
	}

	/**
	 * @param peer - Name of a host.
	 * @param group - Group of an upstream.
	 * @param now - Time in milliseconds.
	 * @returns Whether the host has refused a connection there a short time ago.
	 */
	isRecent(peer: string, group: string, now: number): boolean {
		return now - (this.#refusedAt.get(`${peer} ${group}`) ?? Number.NEGATIVE_INFINITY) < refusalMemoryMs;
	}
}

/** Share of the connections that a host is to get: more with more processor time, less with each tunnel that it serves. */
function computeWeight({failureDomain, capacity = 1, tunnels = 0}: TunnelPeer, upstream: LinkedUpstream, ownDomain: string): number {
	const isDetour = failureDomain !== ownDomain && failureDomain !== upstream.failureDomain;
	const cores = Math.max(capacity, Number.MIN_VALUE);
	return (cores * (isDetour ? detourWeight : 1)) / (1 + (tunnels / (halvingTunnels * cores)));
}

/**
 * @param peers - Hosts that may be asked.
 * @param upstream - Upstream.
 * @param options - Failure domain of this host, former refusals, a number that differs between requests, and the time in milliseconds.
 * @returns The hosts in the order in which they are asked: drawn by their weights, those that refused a short time ago last. The second is of
 * another failure domain if possible: hosts of one domain tend to lose their links together.
 */
export function rankTunnelPeers<T extends TunnelPeer>(peers: readonly T[], upstream: LinkedUpstream, {ownDomain, refusals, turn, now}: {
	readonly ownDomain: string;
	readonly refusals: TunnelRefusals;
	readonly turn: number;
	readonly now: number;
}): readonly T[] {
	const ranked = peers
		.map(peer => {
			const uniform = (mixHashes(hashText(peer.name), turn) + 1) / (hashRange + 1);
			return {peer, isRefusing: refusals.isRecent(peer.name, findLinkGroup(upstream), now), order: -Math.log(uniform) / computeWeight(peer, upstream, ownDomain)};
		})
		.toSorted((a, b) => Number(a.isRefusing) - Number(b.isRefusing) || a.order - b.order);
	const [first] = ranked;
	const second = ranked.find(each => each.peer.failureDomain !== first?.peer.failureDomain && each.isRefusing === first?.isRefusing);
	const ordered = first === undefined || second === undefined ? ranked : [first, second, ...ranked.filter(each => each !== first && each !== second)];
	return ordered.map(each => each.peer);
}

/** What hosts that couldn't connect to an upstream either have said. */
export type AbsenceWitness = {
	readonly failureDomain: string;
	/** To which other upstreams the links of the host are sound. */
	readonly scope: LinkScope;
};

/** Witnesses with sound links to the group of an upstream that show that it is gone, and failure domains with a sound witness that do. */
const conclusiveWitnesses = 2;
const conclusiveDomains = 2;

/**
 * @param witnesses - Hosts that couldn't connect to an upstream.
 * @param areAll - Whether they are all hosts that could be asked.
 * @returns Whether the upstream is gone: a host without links of its own says nothing about it.
 */
export function isGone(witnesses: readonly AbsenceWitness[], areAll: boolean): boolean {
	const sound = witnesses.filter(({scope}) => scope !== 'none');
	const domains = new Set(sound.map(({failureDomain}) => failureDomain));
	return sound.filter(({scope}) => scope === 'group').length >= conclusiveWitnesses || domains.size >= conclusiveDomains || (areAll && sound.length > 0);
}
