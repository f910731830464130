/** Selects the peers that this host links: few enough to keep heartbeats cheap, enough to connect all hosts. */
import {type Member} from '../../types/peer.js';
import {type State} from '../../types/state.js';
import {hashText, mixHashes, rank} from '../../utils/hashes.js';
import {
	linkedDomainLimit, deadPeerDialLimit, deadPeerDialIntervalMs, fullMeshLimit,
} from './constants.js';
import {type Peer} from './types.js';

type HashedMember = {
	readonly member: Member;
	readonly hash: number;
};

function hashMember(member: Member): HashedMember {
	return {member, hash: hashText(member.incarnation.host)};
}

function isPresumedAlive(peer: Peer): boolean {
	return peer.status !== 'gone';
}

/** All hosts of a small domain; in a large one those at distances 1, 2, 4 and so on around a ring ordered by hash. */
function selectOwnDomainLinks(self: Member, peers: readonly Peer[]): readonly Member[] {
	const members = peers.map(peer => peer.member);
	if (members.length <= fullMeshLimit) {
		return members;
	}

	const ring = sortByRing([self, ...members]);
	const start = ring.indexOf(self);
	const chosen: Member[] = [];
	for (let distance = 1; distance <= ring.length / 2; distance *= 2) {
		chosen.push(ring[(start + distance) % ring.length]!);
	}

	return chosen;
}

/**
 * @param members - Hosts of one failure domain.
 * @returns The members ordered by hash, in the same order on every host.
 */
export function sortByRing(members: readonly Member[]): readonly Member[] {
	return members
		.map(member => hashMember(member))
		.toSorted((a, b) => mixHashes(a.hash, 0) - mixHashes(b.hash, 0) || (a.member.incarnation.host < b.member.incarnation.host ? -1 : 1))
		.map(each => each.member);
}

/**
 * @param host - Host.
 * @param domains - Other failure domains than its own.
 * @returns Those of them that it links.
 */
export function selectLinkedDomains(host: string, domains: readonly string[]): readonly string[] {
	const all = domains.map(id => ({id, hash: hashText(id)}));
	return rank(hashText(host), all).slice(0, linkedDomainLimit).map(domain => domain.id);
}

/** One host in each of a few other failure domains, a live one if there is any. */
function selectOtherDomainLinks(self: Member, peers: readonly Peer[]): readonly Member[] {
	const ownHash = hashText(self.incarnation.host);
	const domains = [...new Set(peers.map(peer => peer.member.failureDomain))];
	return selectLinkedDomains(self.incarnation.host, domains).map(domain => {
		const domainPeers = peers.filter(peer => peer.member.failureDomain === domain);
		const live = domainPeers.filter(peer => peer.status === 'live');
		const candidates = live.length > 0 ? live : domainPeers;
		return rank(ownHash, candidates.map(peer => hashMember(peer.member)))[0]!.member;
	});
}

/** A few dead peers in rotation: dialing them detects that a partition has healed. */
function selectDeadPeersToDial(peers: readonly Peer[], now: number): readonly Member[] {
	const deadMembers = peers.filter(peer => !isPresumedAlive(peer)).map(peer => peer.member);
	const first = Math.floor(now / deadPeerDialIntervalMs) * deadPeerDialLimit;
	return deadMembers.length <= deadPeerDialLimit
		? deadMembers
		: Array.from({length: deadPeerDialLimit}, (_, index) => deadMembers[(first + index) % deadMembers.length]!);
}

/**
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns Hosts that this host should have links to.
 */
export function selectLinks(state: State, now: number): readonly Member[] {
	const {self} = state;
	const peers = [...state.membership.peers.values()];
	const presumedAlive = peers.filter(peer => isPresumedAlive(peer));
	return [
		...selectOwnDomainLinks(self, presumedAlive.filter(peer => peer.member.failureDomain === self.failureDomain)),
		...selectOtherDomainLinks(self, presumedAlive.filter(peer => peer.member.failureDomain !== self.failureDomain)),
		...selectDeadPeersToDial(peers, now),
	];
}
