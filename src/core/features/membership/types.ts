/** State of membership: the other hosts, and this host's own phase and links. */
import {Map as Table, Set as Group} from 'immutable';
import {
	type Demand, type Load, type Member, type TrafficMix, type HostPhase,
} from '../../types/peer.js';

/**
 * `known`: named by the platform or a peer, without any message from it yet. `live`: recent messages from it or about it.
 * `suspect`: unresponsive, or its link broke. `gone`: considered dead after a long silence, or left.
 */
export type PeerStatus = 'known' | 'live' | 'suspect' | 'gone';

export type Peer = {
	readonly member: Member;
	readonly phase: HostPhase;
	readonly status: PeerStatus;
	/** Whether this host has a link to it. */
	readonly connected: boolean;
	/**
	 * Monotonic times in milliseconds: of the last message from it or about it, of its addition, of its last phase
	 * change, lost link or recovery.
	 */
	readonly lastSeen: number;
	readonly addedAt: number;
	readonly changed: number;
	/** Of the last heartbeat from it or relayed about it. */
	readonly sequence: number;
	/** Whether the loads are complete, so that a heartbeat with only changes can be applied. */
	readonly hasAllLoads: boolean;
	readonly revision: number;
	/** Prefix of the digest of the document in force there; empty before its first heartbeat on a link. */
	readonly digest: string;
	/** Work the peer has in flight, by upstream. */
	readonly loads: Table<string, Load>;
	/** Arriving work at the peer, by organisation and by service. */
	readonly demands: readonly Demand[];
	readonly mixes: readonly TrafficMix[];
};

export type MembershipState = {
	readonly phase: HostPhase;
	/** Monotonic time of the first tick, in milliseconds. */
	readonly began?: number;
	/** Monotonic times in milliseconds: when this host started to leave, and when it stops at the latest. */
	readonly leaving?: {readonly since: number; readonly until: number};
	/** By host. */
	readonly peers: Table<string, Peer>;
	/** Prefill and decode tokens that live peers have in flight, by upstream. */
	readonly work: Table<string, number>;
	/** Start time of the newest incarnation seen, by host. */
	readonly newestStarts: Table<string, number>;
	/** Hosts that this host has requested links to. */
	readonly asked: Group<string>;
	/** Hosts with an open link, whether or not their hello has been received. */
	readonly linked: Group<string>;
	/** Hosts on the platform's last list; absent before the first. */
	readonly listed?: Group<string>;
	/** Seed addresses from which no host has answered yet, as `host:port`. */
	readonly seeds: Group<string>;
	/** Of the last heartbeat sent. */
	readonly sequence: number;
	/** Monotonic times of the next heartbeat and of the next sweep, in milliseconds. */
	readonly nextHeartbeat: number;
	readonly nextSweep: number;
	/** Sequence number of the state that was last relayed, by host. */
	readonly relayedSequences: Table<string, number>;
	/** This host's loads as last sent to its own failure domain, by upstream. */
	readonly sentLoads: Table<string, Load>;
};

export const initialMembership: MembershipState = {
	phase: 'starting',
	peers: Table(),
	work: Table(),
	newestStarts: Table(),
	asked: Group(),
	linked: Group(),
	seeds: Group(),
	sequence: 0,
	nextHeartbeat: 0,
	nextSweep: 0,
	relayedSequences: Table(),
	sentLoads: Table(),
};
