/** Sends heartbeats: at fixed times, and at once when this host's phase or revision changes. */
import {Map as Table} from 'immutable';
import {type Effect} from '../../../types/effect.js';
import {type Load} from '../../../types/peer.js';
import {type Context, type State, type Step} from '../../../types/state.js';
import {only} from '../../../utils/common.js';
import {
	beatInterval,
	farBeats,
	membersAtStart,
	meshDegree,
	slowBeatInterval,
	wholeBeats,
} from '../constants.js';
import {
	changedLoads, composeHeartbeat, ownLoads, relayedFar, relayedNear,
} from '../heartbeat.js';
import {type Peer} from '../types.js';
import {update} from './peers.js';

function isNear(state: State, peer: Peer): boolean {
	return peer.member.failureDomain === state.self.failureDomain;
}

function announce(before: Table<string, Load>, loads: readonly Load[], whole: boolean): Table<string, Load> {
	const entries = loads.map((load): [string, Load] => [load.upstream, load]);
	return whole ? Table(entries) : before.merge(Table(entries)).filter(load => load.requests > 0);
}

function send(state: State, context: Context, isUrgent: boolean): Step {
	const {now} = context;
	const linked = [...state.membership.peers.values()].filter(peer => peer.connected);
	const sequence = state.membership.sequence + 1;
	const whole = sequence % wholeBeats === 0;
	const loads = ownLoads(state);
	const told = whole ? loads : changedLoads(state, loads);
	const interval = linked.length > meshDegree ? slowBeatInterval : beatInterval;
	const relayed = relayedNear(state, now);
	const next = update(state, {
		sequence,
		nextBeat: now + interval,
		announced: announce(state.membership.announced, told, whole),
		told: state.membership.told.merge(relayed.map(peer => [peer.member.incarnation.host, peer.sequence])),
	});
	const near = composeHeartbeat(next, context, {loads: told, whole, relayed});
	const far = composeHeartbeat(next, context, {whole: true, relayed: relayedFar(next, now)});
	const isFarTurn = isUrgent || sequence % farBeats === 0;
	const effects: Effect[] = [];
	for (const peer of linked) {
		if (isNear(state, peer)) {
			effects.push({type: 'peer-send', to: peer.member.incarnation.host, message: near});
		} else if (isFarTurn) {
			effects.push({type: 'peer-send', to: peer.member.incarnation.host, message: far});
		}
	}

	return {state: next, effects};
}

/**
 * @param state - Core state.
 * @param context - Time.
 * @returns The next step; without change between two heartbeats.
 */
export function beat(state: State, context: Context): Step {
	return context.now < state.membership.nextBeat ? only(state) : send(state, context, false);
}

/**
 * @param state - Core state.
 * @param context - Time.
 * @returns A step that sends a heartbeat to every link at once.
 */
export function beatNow(state: State, context: Context): Step {
	return send(state, context, true);
}

/**
 * The first heartbeat on a new link: the whole work as the others were told, and many members.
 *
 * @param state - Core state.
 * @param host - Peer that was linked.
 * @param context - Time.
 * @returns The next step.
 */
export function beatFirst(state: State, host: string, context: Context): Step {
	const {peers, announced} = state.membership;
	const peer = peers.get(host);
	if (peer === undefined) {
		return only(state);
	}

	const loads = isNear(state, peer) ? [...announced.values()] : undefined;
	const members = [...peers.values()]
		.filter(each => each.status !== 'gone')
		.slice(0, membersAtStart)
		.map(each => each.member);
	const message = {...composeHeartbeat(state, context, {loads, whole: true, relayed: []}), members};
	return {state, effects: [{type: 'peer-send', to: host, message}]};
}
