/** Sends heartbeats, periodically and at once when this host's phase or revision changes. */
import {Map as Table} from 'immutable';
import {type Effect} from '../../../types/effect.js';
import {type Load} from '../../../types/peer.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {withoutEffects} from '../../../utils/common.js';
import {
	heartbeatIntervalMs,
	heartbeatsPerOtherDomainHeartbeat,
	maxMembersInFirstHeartbeat,
	fullMeshLimit,
	slowHeartbeatIntervalMs,
	heartbeatsPerFullHeartbeat,
} from '../constants.js';
import {
	selectChangedLoads, composeHeartbeat, listOwnLoads, selectPeersForOtherDomains, selectPeersForOwnDomain,
} from '../heartbeat.js';
import {type Peer} from '../types.js';
import {updateMembership} from './peers.js';

function isInOwnDomain(state: State, peer: Peer): boolean {
	return peer.member.failureDomain === state.self.failureDomain;
}

function updateSentLoads(before: Table<string, Load>, loads: readonly Load[], isFull: boolean): Table<string, Load> {
	const entries = loads.map((load): [string, Load] => [load.upstream, load]);
	return isFull ? Table(entries) : before.merge(Table(entries)).filter(load => load.requests > 0);
}

function sendHeartbeat(state: State, context: StepContext, isUrgent: boolean): StepResult {
	const {now} = context;
	const linked = [...state.membership.peers.values()].filter(peer => peer.connected);
	const sequence = state.membership.sequence + 1;
	const isFull = sequence % heartbeatsPerFullHeartbeat === 0;
	const loads = listOwnLoads(state);
	const loadsToSend = isFull ? loads : selectChangedLoads(state, loads);
	const interval = linked.length > fullMeshLimit ? slowHeartbeatIntervalMs : heartbeatIntervalMs;
	const relayed = selectPeersForOwnDomain(state, now);
	const next = updateMembership(state, {
		sequence,
		nextHeartbeat: now + interval,
		sentLoads: updateSentLoads(state.membership.sentLoads, loadsToSend, isFull),
		relayedSequences: state.membership.relayedSequences.merge(relayed.map(peer => [peer.member.incarnation.host, peer.sequence])),
	});
	const ownDomainMessage = composeHeartbeat(next, context, {loads: loadsToSend, whole: isFull, relayed});
	const otherDomainMessage = composeHeartbeat(next, context, {whole: true, relayed: selectPeersForOtherDomains(next, now)});
	const isOtherDomainDue = isUrgent || sequence % heartbeatsPerOtherDomainHeartbeat === 0;
	const effects: Effect[] = [];
	for (const peer of linked) {
		if (isInOwnDomain(state, peer)) {
			effects.push({type: 'peer-send', to: peer.member.incarnation.host, message: ownDomainMessage});
		} else if (isOtherDomainDue) {
			effects.push({type: 'peer-send', to: peer.member.incarnation.host, message: otherDomainMessage});
		}
	}

	return {state: next, effects};
}

/**
 * Sends a heartbeat if the interval has passed.
 *
 * @param state - Core state.
 * @param context - Time.
 * @returns The next step; unchanged before the next heartbeat is due.
 */
export function sendDueHeartbeat(state: State, context: StepContext): StepResult {
	return context.now < state.membership.nextHeartbeat ? withoutEffects(state) : sendHeartbeat(state, context, false);
}

/**
 * @param state - Core state.
 * @param context - Time.
 * @returns A step that sends a heartbeat to every linked peer at once, in other failure domains too.
 */
export function sendHeartbeatNow(state: State, context: StepContext): StepResult {
	return sendHeartbeat(state, context, true);
}

/**
 * Sends the first heartbeat on a new link. It carries all loads as they were last sent to the own failure domain, so that the
 * changes that follow apply to them, and many members.
 *
 * @param state - Core state.
 * @param host - Newly linked peer.
 * @param context - Time.
 * @returns The next step.
 */
export function sendFirstHeartbeat(state: State, host: string, context: StepContext): StepResult {
	const {peers, sentLoads} = state.membership;
	const peer = peers.get(host);
	if (peer === undefined) {
		return withoutEffects(state);
	}

	const loads = isInOwnDomain(state, peer) ? [...sentLoads.values()] : undefined;
	const members = [...peers.values()]
		.filter(each => each.status !== 'gone')
		.slice(0, maxMembersInFirstHeartbeat)
		.map(each => each.member);
	const message = {...composeHeartbeat(state, context, {loads, whole: true, relayed: []}), members};
	return {state, effects: [{type: 'peer-send', to: host, message}]};
}
