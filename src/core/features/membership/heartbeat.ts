/** Composes heartbeats: what has changed, and a few of the things heard from others, within fixed bounds. */
import {
	type Digest, type Load, type Member, type PeerMessage,
} from '../../types/peer.js';
import {type Context, type State} from '../../types/state.js';
import {hashText, mix} from '../../utils/hashes.js';
import {revision} from '../configuration/queries.js';
import {ownDemands} from '../limits/queries.js';
import {ownMixes} from '../routing/segments.js';
import {publishedSuspicions} from '../suspicion/queries.js';
import {
	digestLength,
	loadsTold,
	membersTold,
	meshDegree,
	mixInterval,
	newsTime,
	relayedLoadsTold,
	relayedTold,
	suspicionsTold,
	urgentTold,
	wholeLoadsTold,
} from './constants.js';
import {type Peer} from './types.js';

export type Heartbeat = Extract<PeerMessage, {readonly type: 'heartbeat'}>;

function weight(load: Load): number {
	return load.prefill + load.decode;
}

/**
 * @param state - Core state.
 * @returns This host's work in flight, the heaviest first.
 */
export function ownLoads(state: State): readonly Load[] {
	const loads: Load[] = [];
	for (const each of state.upstreams.views.values()) {
		if (each.requests > 0) {
			loads.push({
				upstream: each.upstream,
				requests: each.requests,
				prefill: Math.max(0, Math.round(each.prefill)),
				decode: Math.max(0, Math.round(each.decode)),
				...(each.urgent > 0 && {urgent: Math.round(each.urgent)}),
			});
		}
	}

	return loads.toSorted((a, b) => weight(b) - weight(a)).slice(0, wholeLoadsTold);
}

/**
 * @param state - Core state.
 * @param loads - This host's work in flight.
 * @returns The largest differences from what was told before; work that is over comes as zero.
 */
export function changedLoads(state: State, loads: readonly Load[]): readonly Load[] {
	const {announced} = state.membership;
	const held = new Set(loads.map(load => load.upstream));
	const over = [...announced.values()]
		.filter(load => weight(load) > 0 && !held.has(load.upstream))
		.map(load => ({
			upstream: load.upstream, requests: 0, prefill: 0, decode: 0,
		}));
	return [...loads, ...over]
		.map(load => {
			const before = announced.get(load.upstream);
			return {load, change: Math.abs(weight(load) - (before === undefined ? 0 : weight(before)))};
		})
		.filter(each => each.change > 0)
		.toSorted((a, b) => b.change - a.change)
		.slice(0, loadsTold)
		.map(each => each.load);
}

function digestOf(peer: Peer, isFar: boolean): Digest {
	const loads = isFar ? [] : [...peer.loads.values()].toSorted((a, b) => weight(b) - weight(a)).slice(0, relayedLoadsTold);
	return {
		incarnation: peer.member.incarnation,
		sequence: peer.sequence,
		phase: peer.phase,
		revision: peer.revision,
		...(peer.status === 'suspect' && {silent: true}),
		loads,
		demands: peer.demands,
		...(!isFar && {mixes: peer.mixes}),
	};
}

/** Round robin by heartbeat number, so that nothing has to be remembered for it. */
function turn<T>(all: readonly T[], sequence: number, most: number): readonly T[] {
	return all.length <= most
		? all
		: Array.from({length: most}, (_, index) => all[((sequence * most) + index) % all.length]!);
}

function urgent(peers: readonly Peer[], now: number): readonly Peer[] {
	return peers.filter(peer => now - peer.changed < newsTime && peer.status !== 'known').slice(0, urgentTold);
}

/**
 * Peers to pass on to this host's own failure domain: those whose phase changed, then those that were passed on longest ago
 * and have been heard of since. Ties fall differently at each host, so that neighbours do not all pass on the same.
 *
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns The peers.
 */
export function relayedNear(state: State, now: number): readonly Peer[] {
	const {peers, told} = state.membership;
	const {failureDomain, incarnation} = state.self;
	const all = [...peers.values()];
	const near = all.filter(peer => peer.member.failureDomain === failureDomain && peer.status !== 'gone');
	const isMesh = near.length <= meshDegree;
	const own = hashText(incarnation.host);
	const due = all
		.filter(peer => peer.status === 'live' && !(isMesh && peer.member.failureDomain === failureDomain))
		.map(peer => ({
			peer,
			age: peer.sequence - (told.get(peer.member.incarnation.host) ?? 0),
			order: mix(own, hashText(peer.member.incarnation.host)),
		}))
		.filter(each => each.age > 0)
		.toSorted((a, b) => b.age - a.age || a.order - b.order)
		.slice(0, relayedTold)
		.map(each => each.peer);
	return [...new Set([...urgent(all, now), ...due])];
}

/**
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns Peers to pass on to other failure domains, in turn.
 */
export function relayedFar(state: State, now: number): readonly Peer[] {
	const all = [...state.membership.peers.values()];
	const live = all.filter(peer => peer.status === 'live');
	return [...new Set([...urgent(all, now), ...turn(live, state.membership.sequence, relayedTold)])];
}

function news(state: State, now: number): readonly Member[] {
	const peers = [...state.membership.peers.values()].filter(peer => peer.status !== 'gone');
	const fresh = peers.filter(peer => now - peer.learnt < newsTime).slice(0, membersTold);
	const {sequence} = state.membership;
	const known = sequence % membersTold === 0 ? turn(peers, sequence / membersTold, 1) : [];
	return [...new Set([...fresh, ...known])].map(peer => peer.member);
}

/** What a heartbeat carries besides this host's own state. */
export type Contents = {
	/** Work to tell; undefined for another failure domain, which needs none. */
	readonly loads?: readonly Load[];
	/** Whether the loads are all there are. */
	readonly whole: boolean;
	readonly relayed: readonly Peer[];
};

/**
 * @param state - Core state, with the heartbeat's own sequence number.
 * @param context - Time.
 * @param contents - What else it carries.
 * @returns The heartbeat.
 */
export function composeHeartbeat(state: State, context: Context, contents: Contents): Heartbeat {
	const {loads, whole, relayed} = contents;
	const {sequence} = state.membership;
	return {
		type: 'heartbeat',
		sequence,
		phase: state.membership.phase,
		revision: revision(state),
		digest: state.configuration.digest.slice(0, digestLength),
		whole,
		loads: loads ?? [],
		demands: ownDemands(state, context.now),
		...(sequence % mixInterval === 0 && {mixes: ownMixes(state, context.now)}),
		suspicions: turn(publishedSuspicions(state, context), sequence, suspicionsTold),
		members: news(state, context.now),
		relayed: relayed.map(peer => digestOf(peer, loads === undefined)),
	};
}
