/** Detects unresponsive peers and keeps the links of this host up to date. */
import {Set as Group} from 'immutable';
import {type Effect} from '../../../types/effect.js';
import {type Member} from '../../../types/peer.js';
import {type State, type StepResult} from '../../../types/state.js';
import {chain, withoutEffects} from '../../../utils/common.js';
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
	const silence = now - peer.lastSeen;
	if (peer.status === 'gone') {
		return 'gone';
	}

	const timeout = getSilenceTimeout(state, peer);
	if (peer.status === 'live' && silence <= timeout) {
		return 'live';
	}

	if (silence > timeout + deadTimeoutMs) {
		// A host on the platform's list that never sent a message stays known, so that it is still dialed.
		return peer.status === 'known' && state.membership.listed?.has(peer.member.incarnation.host) === true ? 'known' : 'gone';
	}

	return peer.status === 'known' ? 'known' : 'suspect';
}

function sweepPeer(state: State, peer: Peer, now: number): StepResult {
	const {host} = peer.member.incarnation;
	const removalTimeout = peer.phase === 'leaving' ? leftRemovalTimeoutMs : removalTimeoutMs;
	if (now - peer.lastSeen > removalTimeout && state.membership.listed?.has(host) !== true) {
		return withoutEffects(removePeer(state, host));
	}

	const status = determineStatus(state, peer, now);
	return status === peer.status
		? withoutEffects(state)
		: {state: putPeer(state, {...peer, status}), effects: [createMemberLog(host, status, `silent for ${Math.round(now - peer.lastSeen)} ms`)]};
}

/**
 * Requests missing links and drops those that are no longer selected.
 *
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function updateLinks(state: State, now: number): StepResult {
	const {asked, linked} = state.membership;
	const wanted = selectLinks(state, now);
	const names = Group(wanted.map(member => member.incarnation.host));
	const dropped = asked.subtract(names);
	const missing = wanted.filter(({incarnation: {host}}) => !asked.has(host) && !linked.has(host));
	if (dropped.isEmpty() && missing.length === 0) {
		return withoutEffects(state);
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
	return peer === undefined ? state : putPeer(state, {...peer, connected: false, hasAllLoads: false});
}

/**
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step; unchanged before the next sweep is due.
 */
export function sweep(state: State, now: number): StepResult {
	if (now < state.membership.nextSweep) {
		return withoutEffects(state);
	}

	const peers = [...state.membership.peers.values()];
	return chain(
		updateMembership(state, {nextSweep: now + sweepIntervalMs}),
		...peers.map(peer => (current: State) => sweepPeer(current, peer, now)),
		current => updateLinks(current, now),
	);
}

/**
 * Applies the platform's list of hosts to dial and hosts that are leaving. It never removes a peer that responds.
 *
 * @param state - Core state.
 * @param members - Listed hosts.
 * @param leaving - Names of those that are leaving.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function applyHostList(state: State, members: readonly Member[], leaving: readonly string[], now: number): StepResult {
	const listed = Group(members.map(member => member.incarnation.host));
	const leavingHosts = new Set(leaving);
	return chain(
		updateMembership(state, {listed, nextSweep: 0}),
		...members.map(member => (current: State) => addMember(current, member, now)),
		...members
			.filter(member => leavingHosts.has(member.incarnation.host))
			.map(member => (current: State) => withoutEffects(markLeaving(current, member, now))),
	);
}

/** Applies only to the same incarnation, as the list lags behind a replacement. */
function markLeaving(state: State, member: Member, now: number): State {
	const peer = state.membership.peers.get(member.incarnation.host);
	const isSame = peer?.member.incarnation.started === member.incarnation.started;
	return peer === undefined || !isSame || peer.phase === 'leaving'
		? state
		: putPeer(state, {...peer, phase: 'leaving', changed: now});
}
