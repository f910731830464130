/** Composes heartbeats of bounded size: changes of this host's state, and the state of a few other peers. */
import {
	type HeartbeatSummary, type Load, type Member, type PeerMessage,
} from '../../types/peer.js';
import {type StepContext, type State} from '../../types/state.js';
import {hashText, mixHashes} from '../../utils/hashes.js';
import {getRevision} from '../configuration/queries.js';
import {getOwnDemands} from '../limits/queries.js';
import {getOwnMixes} from '../routing/segments.js';
import {listPublishedSuspicions} from '../suspicion/queries.js';
import {
	digestPrefixLength,
	maxChangedLoads,
	maxMembers,
	fullMeshLimit,
	heartbeatsPerPromptMix,
	recentChangeWindowMs,
	maxRelayedLoads,
	maxRelayedPeers,
	maxSuspicions,
	maxRelayedChanges,
	maxFullLoads,
} from './constants.js';
import {type Peer} from './types.js';

export type Heartbeat = Extract<PeerMessage, {readonly type: 'heartbeat'}>;

function countTokens(load: Load): number {
	return load.prefill + load.decode;
}

/**
 * @param state - Core state.
 * @returns This host's work in flight by upstream, most tokens first, at most {@link maxFullLoads}.
 */
export function listOwnLoads(state: State): readonly Load[] {
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

	return loads.toSorted((a, b) => countTokens(b) - countTokens(a)).slice(0, maxFullLoads);
}

/**
 * @param state - Core state.
 * @param loads - This host's work in flight.
 * @returns Loads with the largest changes since they were last sent; finished work as a load of zero.
 */
export function selectChangedLoads(state: State, loads: readonly Load[]): readonly Load[] {
	const {sentLoads} = state.membership;
	const currentUpstreams = new Set(loads.map(load => load.upstream));
	const finished = [...sentLoads.values()]
		.filter(load => countTokens(load) > 0 && !currentUpstreams.has(load.upstream))
		.map(load => ({
			upstream: load.upstream, requests: 0, prefill: 0, decode: 0,
		}));
	return [...loads, ...finished]
		.map(load => {
			const before = sentLoads.get(load.upstream);
			return {load, change: Math.abs(countTokens(load) - (before === undefined ? 0 : countTokens(before)))};
		})
		.filter(each => each.change > 0)
		.toSorted((a, b) => b.change - a.change)
		.slice(0, maxChangedLoads)
		.map(each => each.load);
}

function createDigest(peer: Peer, isForOtherDomain: boolean): HeartbeatSummary {
	const loads = isForOtherDomain ? [] : [...peer.loads.values()].toSorted((a, b) => countTokens(b) - countTokens(a)).slice(0, maxRelayedLoads);
	return {
		incarnation: peer.member.incarnation,
		sequence: peer.sequence,
		phase: peer.phase,
		revision: peer.revision,
		...(peer.status === 'suspect' && {silent: true}),
		loads,
		demands: peer.demands,
		...(!isForOtherDomain && {mixes: peer.mixes}),
	};
}

/** Selects round robin by heartbeat number, which needs no state of its own. */
function takeTurn<T>(all: readonly T[], sequence: number, limit: number): readonly T[] {
	return all.length <= limit
		? all
		: Array.from({length: limit}, (_, index) => all[((sequence * limit) + index) % all.length]!);
}

function selectChangedPeers(peers: readonly Peer[], now: number): readonly Peer[] {
	return peers.filter(peer => now - peer.changed < recentChangeWindowMs && peer.status !== 'known').slice(0, maxRelayedChanges);
}

/**
 * Selects peers to relay to this host's own failure domain: those with a recent phase change, lost link or recovery, then live
 * ones with the most heartbeats since they were last relayed. Each host breaks ties differently, so that neighbours do not all
 * relay the same peers.
 *
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns The peers.
 */
export function selectPeersForOwnDomain(state: State, now: number): readonly Peer[] {
	const {peers, relayedSequences} = state.membership;
	const {failureDomain, incarnation} = state.self;
	const all = [...peers.values()];
	const ownDomainPeers = all.filter(peer => peer.member.failureDomain === failureDomain && peer.status !== 'gone');
	const isFullMesh = ownDomainPeers.length <= fullMeshLimit;
	const ownHash = hashText(incarnation.host);
	const due = all
		.filter(peer => peer.status === 'live' && !(isFullMesh && peer.member.failureDomain === failureDomain))
		.map(peer => ({
			peer,
			age: peer.sequence - (relayedSequences.get(peer.member.incarnation.host) ?? 0),
			order: mixHashes(ownHash, hashText(peer.member.incarnation.host)),
		}))
		.filter(each => each.age > 0)
		.toSorted((a, b) => b.age - a.age || a.order - b.order)
		.slice(0, maxRelayedPeers)
		.map(each => each.peer);
	return [...new Set([...selectChangedPeers(all, now), ...due])];
}

/**
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns Peers to relay to other failure domains: recent changes, then live peers in rotation.
 */
export function selectPeersForOtherDomains(state: State, now: number): readonly Peer[] {
	const all = [...state.membership.peers.values()];
	const live = all.filter(peer => peer.status === 'live');
	return [...new Set([...selectChangedPeers(all, now), ...takeTurn(live, state.membership.sequence, maxRelayedPeers)])];
}

function selectMembers(state: State, now: number): readonly Member[] {
	const peers = [...state.membership.peers.values()].filter(peer => peer.status !== 'gone');
	const recent = peers.filter(peer => now - peer.addedAt < recentChangeWindowMs).slice(0, maxMembers);
	const {sequence} = state.membership;
	const rotated = sequence % maxMembers === 0 ? takeTurn(peers, sequence / maxMembers, 1) : [];
	return [...new Set([...recent, ...rotated])].map(peer => peer.member);
}

/** Contents of a heartbeat that depend on its receivers. */
export type HeartbeatContents = {
	/** Undefined for another failure domain, which needs no loads. */
	readonly loads?: readonly Load[];
	/** Whether the loads are complete, not only changes. */
	readonly whole: boolean;
	readonly relayed: readonly Peer[];
};

/**
 * @param state - Core state, with the sequence number of this heartbeat.
 * @param context - Time.
 * @param contents - Loads and relayed peers.
 * @returns The heartbeat.
 */
export function composeHeartbeat(state: State, context: StepContext, contents: HeartbeatContents): Heartbeat {
	const {loads, whole, relayed} = contents;
	const {sequence} = state.membership;
	return {
		type: 'heartbeat',
		sequence,
		phase: state.membership.phase,
		revision: getRevision(state),
		digest: state.configuration.digest.slice(0, digestPrefixLength),
		whole,
		loads: loads ?? [],
		demands: getOwnDemands(state, context.now),
		...(sequence % heartbeatsPerPromptMix === 0 && {mixes: getOwnMixes(state, context.now)}),
		suspicions: takeTurn(listPublishedSuspicions(state, context), sequence, maxSuspicions),
		members: selectMembers(state, context.now),
		relayed: relayed.map(peer => createDigest(peer, loads === undefined)),
	};
}
