/** Routes messages to hosts without a direct link, by greedy steps around the ring of their failure domain. */
import {type Member} from '../../types/peer.js';
import {type State} from '../../types/state.js';
import {selectLinkedDomains, sortByRing} from './links.js';
import {type Peer} from './types.js';

/** Hops of a message at most: enough in the largest fleet for steps around two rings and from one to the other. */
export const maxRouteHops = 16;

function buildRing(state: State, failureDomain: string): readonly Member[] {
	const members = [...state.membership.peers.values()]
		.filter(peer => peer.member.failureDomain === failureDomain && peer.status !== 'gone')
		.map(peer => peer.member);
	return sortByRing(failureDomain === state.self.failureDomain ? [state.self, ...members] : members);
}

/** The candidate with the shortest distance to the target on the ring, in either direction. */
function findNearest(ring: readonly Member[], candidates: readonly Member[], target: Member): Member | undefined {
	const targetIndex = ring.indexOf(target);
	const distance = (member: Member) => {
		const difference = Math.abs(ring.indexOf(member) - targetIndex);
		return Math.min(difference, ring.length - difference);
	};

	return candidates.filter(member => ring.includes(member)).toSorted((a, b) => distance(a) - distance(b))[0];
}

function findHopWithinDomain(state: State, linked: readonly Peer[], target: Member): Member | undefined {
	const candidates = linked.map(peer => peer.member).filter(member => member.failureDomain === target.failureDomain);
	return findNearest(buildRing(state, target.failureDomain), candidates, target);
}

/** The nearest host on the ring of this failure domain that links the target's failure domain. */
function findBorderHost(state: State, target: Member): Member | undefined {
	const {self} = state;
	const ownRing = buildRing(state, self.failureDomain);
	const domains = new Set([...state.membership.peers.values()].map(peer => peer.member.failureDomain));
	domains.delete(self.failureDomain);
	const borderHosts = ownRing.filter(member => member !== self && selectLinkedDomains(member.incarnation.host, [...domains]).includes(target.failureDomain));
	return findNearest(ownRing, borderHosts, self);
}

/**
 * Each step halves the distance on the ring, because hosts link those at doubling distances. With missing links a message
 * may circle, so callers must limit its hops to {@link maxRouteHops}.
 *
 * @param state - Core state.
 * @param host - Destination.
 * @param from - Host that the message came from, which is never the next hop to another host.
 * @returns The linked host to send to, the destination itself if it is linked; undefined if there is no route.
 */
export function findNextHop(state: State, host: string, from?: string): string | undefined {
	const target = state.membership.peers.get(host);
	if (target === undefined || target.connected) {
		return target?.member.incarnation.host;
	}

	const linked = [...state.membership.peers.values()].filter(peer => peer.connected && peer.member.incarnation.host !== from);
	const hop = findHopWithinDomain(state, linked, target.member);
	if (hop !== undefined) {
		return hop.incarnation.host;
	}

	const borderHost = findBorderHost(state, target.member);
	const step = borderHost === undefined ? undefined : linked.find(peer => peer.member === borderHost)?.member ?? findHopWithinDomain(state, linked, borderHost);
	return (step ?? linked[0]?.member)?.incarnation.host;
}
