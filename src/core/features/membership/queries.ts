/** Queries of the membership state. */
import {type Incarnation} from '../../types/request.js';
import {type Member} from '../../types/peer.js';
import {type State} from '../../types/state.js';
import {type Peer} from './types.js';

/**
 * @param state - Core state.
 * @returns Whether this host takes new work.
 */
export function isServing(state: State): boolean {
	return state.membership.phase === 'serving';
}

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @returns Prefill and decode tokens that live peers have in flight there.
 */
export function getPeersWork(state: State, upstream: string): number {
	return state.membership.work.get(upstream) ?? 0;
}

/**
 * @param state - Core state.
 * @returns Peers with a recent message from them or about them.
 */
export function listLivePeers(state: State): readonly Peer[] {
	return [...state.membership.peers.values()].filter(peer => peer.status === 'live');
}

/**
 * @param state - Core state.
 * @param failureDomain - Failure domain.
 * @returns Hosts known to serve there, this one included, sorted by name.
 */
export function listServingHosts(state: State, failureDomain: string): readonly Member[] {
	const others = listLivePeers(state)
		.filter(peer => peer.phase === 'serving' && peer.member.failureDomain === failureDomain)
		.map(peer => peer.member);
	const own = isServing(state) && state.self.failureDomain === failureDomain ? [state.self] : [];
	return [...others, ...own].toSorted((a, b) => a.incarnation.host < b.incarnation.host ? -1 : 1);
}

/**
 * @param state - Core state.
 * @returns Failure domains with a live serving peer, and this host's own, sorted.
 */
export function listReachableDomains(state: State): readonly string[] {
	const domains = new Set([state.self.failureDomain]);
	for (const peer of listLivePeers(state)) {
		if (peer.phase === 'serving') {
			domains.add(peer.member.failureDomain);
		}
	}

	return [...domains].toSorted();
}

/**
 * @param state - Core state.
 * @param incarnation - Incarnation of a host.
 * @returns Whether it has certainly ended, because a newer one of the same host was seen. Silence alone proves nothing.
 */
export function isSuperseded(state: State, incarnation: Incarnation): boolean {
	const {host, started} = incarnation;
	const own = state.self.incarnation;
	const newest = host === own.host ? own.started : state.membership.newestStarts.get(host);
	return newest !== undefined && newest > started;
}

/**
 * @param state - Core state.
 * @param incarnation - Incarnation of a host.
 * @returns Whether that incarnation is linked to this host.
 */
export function isLinked(state: State, incarnation: Incarnation): boolean {
	const peer = state.membership.peers.get(incarnation.host);
	return peer?.connected === true && peer.member.incarnation.started === incarnation.started;
}
