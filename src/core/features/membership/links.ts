/** Which links this host wants: few enough to stay cheap, enough that news reaches everyone. */
import {type Member} from '../../types/peer.js';
import {type State} from '../../types/state.js';
import {hashText, mix, rank} from '../../utils/hashes.js';
import {
	farLinks, goneDialled, goneTurn, meshDegree,
} from './constants.js';
import {type Peer} from './types.js';

type Placed = {
	readonly member: Member;
	readonly hash: number;
};

function placed(member: Member): Placed {
	return {member, hash: hashText(member.incarnation.host)};
}

function isThere(peer: Peer): boolean {
	return peer.status !== 'gone';
}

/** All of a small domain; in a large one the hosts at distances 1, 2, 4 and so on around a ring of hashes. */
function near(self: Member, peers: readonly Peer[]): readonly Member[] {
	const members = peers.map(peer => peer.member);
	if (members.length <= meshDegree) {
		return members;
	}

	const around = ring([self, ...members]);
	const start = around.indexOf(self);
	const chosen: Member[] = [];
	for (let distance = 1; distance <= around.length / 2; distance *= 2) {
		chosen.push(around[(start + distance) % around.length]!);
	}

	return chosen;
}

/**
 * @param members - Hosts of one failure domain.
 * @returns The same in the order of their hashes, alike on every host.
 */
export function ring(members: readonly Member[]): readonly Member[] {
	return members
		.map(member => placed(member))
		.toSorted((a, b) => mix(a.hash, 0) - mix(b.hash, 0) || (a.member.incarnation.host < b.member.incarnation.host ? -1 : 1))
		.map(each => each.member);
}

/**
 * @param host - Host.
 * @param domains - Failure domains beside its own.
 * @returns Those of them that it links.
 */
export function farDomains(host: string, domains: readonly string[]): readonly string[] {
	const all = domains.map(id => ({id, hash: hashText(id)}));
	return rank(hashText(host), all).slice(0, farLinks).map(domain => domain.id);
}

/** One host of each other domain, of a few domains where there are many. */
function far(self: Member, peers: readonly Peer[]): readonly Member[] {
	const own = hashText(self.incarnation.host);
	const domains = [...new Set(peers.map(peer => peer.member.failureDomain))];
	return farDomains(self.incarnation.host, domains).map(domain => {
		const inside = peers.filter(peer => peer.member.failureDomain === domain);
		const answering = inside.filter(peer => peer.status === 'live');
		const candidates = answering.length > 0 ? answering : inside;
		return rank(own, candidates.map(peer => placed(peer.member)))[0]!.member;
	});
}

/** A few of those that are gone, in turn: a partition that heals is noticed by dialling. */
function lost(peers: readonly Peer[], now: number): readonly Member[] {
	const sorted = peers.filter(peer => !isThere(peer)).map(peer => peer.member);
	const first = Math.floor(now / goneTurn) * goneDialled;
	return sorted.length <= goneDialled
		? sorted
		: Array.from({length: goneDialled}, (_, index) => sorted[(first + index) % sorted.length]!);
}

/**
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns Hosts that this host should be linked to.
 */
export function wantedLinks(state: State, now: number): readonly Member[] {
	const {self} = state;
	const peers = [...state.membership.peers.values()];
	const there = peers.filter(peer => isThere(peer));
	return [
		...near(self, there.filter(peer => peer.member.failureDomain === self.failureDomain)),
		...far(self, there.filter(peer => peer.member.failureDomain !== self.failureDomain)),
		...lost(peers, now),
	];
}
