/** Looks at who is silent and which links are wanted. */
import {Set as Group} from 'immutable';
import {type Effect} from '../../../types/effect.js';
import {type Member} from '../../../types/peer.js';
import {type State, type Step} from '../../../types/state.js';
import {chain, only} from '../../../utils/common.js';
import {
	linkedTimeoutMs,
	otherDomainTimeoutMs,
	removalTimeoutMs,
	deadTimeoutMs,
	leftRemovalTimeoutMs,
	relayedTimeoutMs,
	sweepIntervalMs,
} from '../constants.js';
import {selectLinks} from '../links.js';
import {type Peer, type PeerStatus} from '../types.js';
import {
	removePeer, addMember, createMemberLog, putPeer, updateMembership,
} from './peers.js';

function getSilenceTimeout(state: State, peer: Peer): number {
	if (peer.connected) {
		return linkedTimeoutMs;
	}

	return peer.member.failureDomain === state.self.failureDomain ? relayedTimeoutMs : otherDomainTimeoutMs;
}

function determineStatus(state: State, peer: Peer, now: number): PeerStatus {
	const silence = now - peer.heard;
	if (peer.status === 'gone') {
		return 'gone';
	}

	const timeout = getSilenceTimeout(state, peer);
	if (peer.status === 'live' && silence <= timeout) {
		return 'live';
	}

	if (silence > timeout + deadTimeoutMs) {
		// The platform's list keeps a host that nobody has heard of known, so that it is still dialled.
		return peer.status === 'known' && state.membership.listed?.has(peer.member.incarnation.host) === true ? 'known' : 'gone';
	}

	return peer.status === 'known' ? 'known' : 'suspect';
}

function sweepPeer(state: State, peer: Peer, now: number): Step {
	const {host} = peer.member.incarnation;
	const removalTimeout = peer.phase === 'leaving' ? leftRemovalTimeoutMs : removalTimeoutMs;
	if (now - peer.heard > removalTimeout && state.membership.listed?.has(host) !== true) {
		return only(removePeer(state, host));
	}

	const status = determineStatus(state, peer, now);
	return status === peer.status
		? only(state)
		: {state: putPeer(state, {...peer, status}), effects: [createMemberLog(host, status, `silent for ${Math.round(now - peer.heard)} ms`)]};
}

/**
 * Asks for the links that are wanted and gives up those that are not.
 *
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function updateLinks(state: State, now: number): Step {
	const {asked, linked} = state.membership;
	const wanted = selectLinks(state, now);
	const names = Group(wanted.map(member => member.incarnation.host));
	const dropped = asked.subtract(names);
	const missing = wanted.filter(({incarnation: {host}}) => !asked.has(host) && !linked.has(host));
	if (dropped.isEmpty() && missing.length === 0) {
		return only(state);
	}

	const effects: Effect[] = [
		...[...dropped].map(host => ({type: 'disconnect', host} as const)),
		...missing.map(({incarnation: {host}, peerAddress}) => ({type: 'connect', host, address: peerAddress} as const)),
	];
	const kept = asked.intersect(names).union(missing.map(member => member.incarnation.host));
	let next = updateMembership(state, {asked: kept, linked: linked.subtract(dropped)});
	for (const host of dropped) {
		next = markDisconnected(next, host);
	}

	return {state: next, effects};
}

function markDisconnected(state: State, host: string): State {
	const peer = state.membership.peers.get(host);
	return peer === undefined ? state : putPeer(state, {...peer, connected: false, isWhole: false});
}

/**
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step; without change between two looks.
 */
export function sweep(state: State, now: number): Step {
	if (now < state.membership.nextSweep) {
		return only(state);
	}

	const peers = [...state.membership.peers.values()];
	return chain(
		updateMembership(state, {nextSweep: now + sweepIntervalMs}),
		...peers.map(peer => (current: State) => sweepPeer(current, peer, now)),
		current => updateLinks(current, now),
	);
}

/**
 * Takes the platform's list. It names hosts to dial and hosts that leave; it never removes a peer that answers.
 *
 * @param state - Core state.
 * @param members - Hosts listed.
 * @param leaving - Those of them that leave.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function applyHostList(state: State, members: readonly Member[], leaving: readonly string[], now: number): Step {
	const listed = Group(members.map(member => member.incarnation.host));
	const leavingHosts = new Set(leaving);
	return chain(
		updateMembership(state, {listed, nextSweep: 0}),
		...members.map(member => (current: State) => addMember(current, member, now)),
		...members
			.filter(member => leavingHosts.has(member.incarnation.host))
			.map(member => (current: State) => only(markLeaving(current, member, now))),
	);
}

/** Believed only of the same incarnation: the list lags behind a replacement. */
function markLeaving(state: State, member: Member, now: number): State {
	const peer = state.membership.peers.get(member.incarnation.host);
	const isSame = peer?.member.incarnation.started === member.incarnation.started;
	return peer === undefined || !isSame || peer.phase === 'leaving'
		? state
		: putPeer(state, {...peer, phase: 'leaving', changed: now});
}
