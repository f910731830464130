/** Adds, updates and removes peers, and keeps the sum of the work that live peers have in flight. */
import {Map as Table} from 'immutable';
import {type Load, type Member} from '../../../types/peer.js';
import {type State, type StepResult} from '../../../types/state.js';
import {removeOldest} from '../../../utils/bounded.js';
import {chain, withoutEffects} from '../../../utils/common.js';
import {peerLimit, replacedGraceMs} from '../constants.js';
import {type MembershipState, type Peer} from '../types.js';

/**
 * @param state - Core state.
 * @param changes - Changed fields of the membership state.
 * @returns The next state.
 */
export function updateMembership(state: State, changes: Partial<MembershipState>): State {
	return {...state, membership: {...state.membership, ...changes}};
}

function getLiveLoads(peer: Peer | undefined): Table<string, Load> {
	return peer?.status === 'live' ? peer.loads : Table();
}

function addWork(work: Table<string, number>, loads: Table<string, Load>, sign: 1 | -1): Table<string, number> {
	return work.withMutations(next => {
		for (const load of loads.values()) {
			const sum = (next.get(load.upstream) ?? 0) + (sign * (load.prefill + load.decode));
			next.set(load.upstream, Math.max(0, sum));
		}
	});
}

/**
 * @param state - Core state.
 * @param peer - New or changed peer.
 * @returns The next state.
 */
export function putPeer(state: State, peer: Peer): State {
	const {host} = peer.member.incarnation;
	const {peers, work} = state.membership;
	const before = getLiveLoads(peers.get(host));
	const after = getLiveLoads(peer);
	return updateMembership(state, {
		peers: peers.set(host, peer),
		work: before === after ? work : addWork(addWork(work, before, -1), after, 1),
	});
}

/**
 * @param state - Core state.
 * @param host - Host to remove.
 * @returns The next state.
 */
export function removePeer(state: State, host: string): State {
	const {peers, relayedSequences, work} = state.membership;
	return updateMembership(state, {
		peers: peers.delete(host),
		relayedSequences: relayedSequences.delete(host),
		work: addWork(work, getLiveLoads(peers.get(host)), -1),
	});
}

function createPeer(member: Member, now: number): Peer {
	return {
		member,
		phase: 'starting',
		status: 'known',
		connected: false,
		lastSeen: now,
		addedAt: now,
		changed: Number.NEGATIVE_INFINITY,
		sequence: 0,
		hasAllLoads: false,
		revision: 0,
		digest: '',
		loads: Table(),
		demands: [],
		mixes: [],
	};
}

/**
 * @param host - Host.
 * @param change - Its new status or phase, or what happened to it.
 * @param reason - Reason, for people.
 * @returns The effect that logs it.
 */
export function createMemberLog(host: string, change: string, reason: string) {
	return {
		type: 'log', decision: {
			type: 'member', host, change, reason,
		},
	} as const;
}

function createDepartureEffects(host: string, started: number, reason: string) {
	return [
		createMemberLog(host, 'replaced', reason),
		{type: 'raise', event: {type: 'peer-departed', incarnation: {host, started}}},
	] as const;
}

/** Removes a host with an earlier start at the same address: two processes cannot listen at one address. */
function removeAtSameAddress(state: State, member: Member): StepResult {
	const {host, port} = member.peerAddress;
	const old = [...state.membership.peers.values()].find(peer =>
		peer.member.peerAddress.port === port
		&& peer.member.peerAddress.host === host
		&& peer.member.incarnation.host !== member.incarnation.host
		&& peer.member.incarnation.started < member.incarnation.started);
	if (old === undefined) {
		return withoutEffects(state);
	}

	const {incarnation} = old.member;
	const next = updateMembership(removePeer(state, incarnation.host), {newestStarts: state.membership.newestStarts.set(incarnation.host, member.incarnation.started)});
	return {state: next, effects: createDepartureEffects(incarnation.host, incarnation.started, `${member.incarnation.host} is at its address`)};
}

function insertMember(state: State, member: Member, now: number): StepResult {
	const {host, started} = member.incarnation;
	const before = state.membership.peers.get(host);
	const newestStarts = removeOldest(state.membership.newestStarts.set(host, started), peerLimit * 2, value => value);
	// Clears `asked` to dial the newer incarnation again, as its address may differ.
	const next = updateMembership(putPeer(state, createPeer(member, now)), {
		newestStarts,
		asked: state.membership.asked.delete(host),
		relayedSequences: state.membership.relayedSequences.delete(host),
	});
	return before === undefined
		? {state: next, effects: [createMemberLog(host, 'learnt', `of ${member.failureDomain}`)]}
		: {state: next, effects: createDepartureEffects(host, before.member.incarnation.started, 'a newer incarnation was seen')};
}

/** Makes this host leave, as a stop request does, when a newer incarnation took its name while it was paused. */
function leaveAsReplaced(state: State, member: Member): StepResult {
	return state.membership.phase === 'leaving'
		? withoutEffects(state)
		: {
			state,
			effects: [
				createMemberLog(member.incarnation.host, 'replaced', 'a newer incarnation of this host was seen'),
				{type: 'raise', event: {type: 'stop-asked', grace: replacedGraceMs}},
			],
		};
}

/**
 * Adds a host. A newer incarnation replaces an older one; older incarnations than the newest seen are ignored.
 *
 * @param state - Core state.
 * @param member - Host, as described by itself or by another host.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function addMember(state: State, member: Member, now: number): StepResult {
	const {host, started} = member.incarnation;
	const {peers, newestStarts} = state.membership;
	if (host === state.self.incarnation.host) {
		return started > state.self.incarnation.started ? leaveAsReplaced(state, member) : withoutEffects(state);
	}

	const newestStart = newestStarts.get(host) ?? 0;
	if (started < newestStart || (started === newestStart && peers.has(host)) || (!peers.has(host) && peers.size >= peerLimit)) {
		return withoutEffects(state);
	}

	return chain(state, current => removeAtSameAddress(current, member), current => insertMember(current, member, now));
}
