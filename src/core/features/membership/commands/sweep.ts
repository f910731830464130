/** Looks at who is silent and which links are wanted. */
import {Set as Group} from 'immutable';
import {type Effect} from '../../../types/effect.js';
import {type Member} from '../../../types/peer.js';
import {type State, type Step} from '../../../types/state.js';
import {chain, only} from '../../../utils/common.js';
import {
	directSilence,
	farSilence,
	forgetSilence,
	goneSilence,
	leftSilence,
	relayedSilence,
	sweepInterval,
} from '../constants.js';
import {wantedLinks} from '../links.js';
import {type Peer, type Status} from '../types.js';
import {
	dropPeer, learn, memberLog, putPeer, update,
} from './peers.js';

function allowedSilence(state: State, peer: Peer): number {
	if (peer.connected) {
		return directSilence;
	}

	return peer.member.failureDomain === state.self.failureDomain ? relayedSilence : farSilence;
}

function statusOf(state: State, peer: Peer, now: number): Status {
	const silence = now - peer.heard;
	if (peer.status === 'gone') {
		return 'gone';
	}

	const allowed = allowedSilence(state, peer);
	if (peer.status === 'live' && silence <= allowed) {
		return 'live';
	}

	if (silence > allowed + goneSilence) {
		// The platform's list keeps a host that nobody has heard of known, so that it is still dialled.
		return peer.status === 'known' && state.membership.listed?.has(peer.member.incarnation.host) === true ? 'known' : 'gone';
	}

	return peer.status === 'known' ? 'known' : 'suspect';
}

function look(state: State, peer: Peer, now: number): Step {
	const {host} = peer.member.incarnation;
	const kept = peer.phase === 'leaving' ? leftSilence : forgetSilence;
	if (now - peer.heard > kept && state.membership.listed?.has(host) !== true) {
		return only(dropPeer(state, host));
	}

	const status = statusOf(state, peer, now);
	return status === peer.status
		? only(state)
		: {state: putPeer(state, {...peer, status}), effects: [memberLog(host, status, `silent for ${Math.round(now - peer.heard)} ms`)]};
}

/**
 * Asks for the links that are wanted and gives up those that are not.
 *
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function askLinks(state: State, now: number): Step {
	const {asked, linked} = state.membership;
	const wanted = wantedLinks(state, now);
	const names = Group(wanted.map(member => member.incarnation.host));
	const given = asked.subtract(names);
	const missing = wanted.filter(({incarnation: {host}}) => !asked.has(host) && !linked.has(host));
	if (given.isEmpty() && missing.length === 0) {
		return only(state);
	}

	const effects: Effect[] = [
		...[...given].map(host => ({type: 'disconnect', host} as const)),
		...missing.map(({incarnation: {host}, peerAddress}) => ({type: 'connect', host, address: peerAddress} as const)),
	];
	const kept = asked.intersect(names).union(missing.map(member => member.incarnation.host));
	let next = update(state, {asked: kept, linked: linked.subtract(given)});
	for (const host of given) {
		next = unlink(next, host);
	}

	return {state: next, effects};
}

function unlink(state: State, host: string): State {
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
		update(state, {nextSweep: now + sweepInterval}),
		...peers.map(peer => (current: State) => look(current, peer, now)),
		current => askLinks(current, now),
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
export function takeList(state: State, members: readonly Member[], leaving: readonly string[], now: number): Step {
	const listed = Group(members.map(member => member.incarnation.host));
	const isLeaving = new Set(leaving);
	return chain(
		update(state, {listed, nextSweep: 0}),
		...members.map(member => (current: State) => learn(current, member, now)),
		...members
			.filter(member => isLeaving.has(member.incarnation.host))
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
