/** Applies messages from peers: their own state, and the state of others that they relay. */
import {Map as Table} from 'immutable';
import {
	type HeartbeatSummary, type Load, type PeerMessage, type HostPhase,
} from '../../../types/peer.js';
import {type State, type StepResult} from '../../../types/state.js';
import {chain, withoutEffects} from '../../../utils/common.js';
import {type Heartbeat} from '../heartbeat.js';
import {type Peer} from '../types.js';
import {addMember, createMemberLog, putPeer} from './peers.js';

type Hello = Extract<PeerMessage, {readonly type: 'hello'}>;

function toLoadTable(loads: readonly Load[]): Table<string, Load> {
	return Table(loads.filter(load => load.requests > 0).map(load => [load.upstream, load]));
}

function applyLoadChanges(before: Table<string, Load>, changes: readonly Load[]): Table<string, Load> {
	return before.withMutations(next => {
		for (const load of changes) {
			if (load.requests > 0) {
				next.set(load.upstream, load);
			} else {
				next.delete(load.upstream);
			}
		}
	});
}

/** Marks a peer live after a message from it or about it. A peer that is leaving never returns to an earlier phase. */
function markLive(state: State, peer: Peer, phase: HostPhase, now: number): StepResult {
	const {host} = peer.member.incarnation;
	const newPhase = peer.phase === 'leaving' ? 'leaving' : phase;
	const next = putPeer(state, {
		...peer, status: 'live', lastSeen: now, phase: newPhase, changed: newPhase === peer.phase && peer.status !== 'suspect' ? peer.changed : now,
	});
	const isRecovered = peer.status !== 'live';
	const isChanged = newPhase !== peer.phase;
	return isRecovered || isChanged
		? {state: next, effects: [createMemberLog(host, isChanged ? newPhase : 'live', isChanged ? 'reported by the host' : `was ${peer.status}`)]}
		: withoutEffects(next);
}

/**
 * @param state - Core state.
 * @param hello - Handshake message of the peer.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function applyHello(state: State, hello: Hello, now: number): StepResult {
	const {member, phase, revision} = hello;
	const {host, started} = member.incarnation;
	return chain(
		state,
		current => addMember(current, member, now),
		current => {
			const peer = current.membership.peers.get(host);
			return peer?.member.incarnation.started === started ? markLive(current, {...peer, revision: Math.max(peer.revision, revision)}, phase, now) : withoutEffects(current);
		},
	);
}

function updatePeer(peer: Peer, heartbeat: Heartbeat): Peer {
	const isNext = peer.hasAllLoads && heartbeat.sequence === peer.sequence + 1;
	const loads = heartbeat.whole ? toLoadTable(heartbeat.loads) : (isNext ? applyLoadChanges(peer.loads, heartbeat.loads) : peer.loads);
	return {
		...peer,
		sequence: heartbeat.sequence,
		hasAllLoads: heartbeat.whole || isNext,
		loads,
		revision: heartbeat.revision,
		digest: heartbeat.digest,
		demands: heartbeat.demands,
		mixes: heartbeat.mixes ?? peer.mixes,
	};
}

/** Ignores heartbeats unless the known incarnation is linked: the link of an older one may still be open. */
function applyOwnState(state: State, from: string, heartbeat: Heartbeat, now: number): StepResult {
	const peer = state.membership.peers.get(from);
	return peer?.connected !== true || heartbeat.sequence < peer.sequence
		? withoutEffects(state)
		: markLive(state, updatePeer(peer, heartbeat), heartbeat.phase, now);
}

/** Marks a peer suspect after another host lost its link to it and this host received nothing newer. */
function markSuspect(state: State, peer: Peer, now: number): StepResult {
	return {
		state: putPeer(state, {...peer, status: 'suspect', changed: now}),
		effects: [createMemberLog(peer.member.incarnation.host, 'suspect', 'another host lost its link')],
	};
}

/** Applies the relayed state of a peer that has no link to this host, if it is newer than the known one. */
function applyDigest(state: State, digest: HeartbeatSummary, now: number): StepResult {
	const {host, started} = digest.incarnation;
	const peer = state.membership.peers.get(host);
	if (peer === undefined || peer.connected || peer.member.incarnation.started !== started) {
		return withoutEffects(state);
	}

	if (digest.silent === true) {
		return digest.sequence >= peer.sequence && peer.status === 'live' ? markSuspect(state, peer, now) : withoutEffects(state);
	}

	if (digest.sequence <= peer.sequence) {
		return withoutEffects(state);
	}

	return markLive(state, {
		...peer,
		sequence: digest.sequence,
		hasAllLoads: false,
		loads: toLoadTable(digest.loads),
		revision: digest.revision,
		demands: digest.demands,
		mixes: digest.mixes ?? peer.mixes,
	}, digest.phase, now);
}

/**
 * @param state - Core state.
 * @param from - Peer.
 * @param heartbeat - Its heartbeat.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function applyHeartbeat(state: State, from: string, heartbeat: Heartbeat, now: number): StepResult {
	return chain(
		state,
		current => applyOwnState(current, from, heartbeat, now),
		...heartbeat.members.map(member => (current: State) => addMember(current, member, now)),
		...heartbeat.relayed.map(digest => (current: State) => applyDigest(current, digest, now)),
	);
}
