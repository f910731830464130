/** What this host knows of the others and of its own place among them. */
import {Map as Table, Set as Group} from 'immutable';
import {
	type Demand, type Load, type Member, type Mix, type Phase,
} from '../../types/peer.js';

/**
 * Known: named by the platform or a peer, never heard. Live: heard of lately. Suspect: silent for a while.
 * Gone: silent for long, or left.
 */
export type PeerStatus = 'known' | 'live' | 'suspect' | 'gone';

export type Peer = {
	readonly member: Member;
	readonly phase: Phase;
	readonly status: PeerStatus;
	/** Whether this host has a link to it. */
	readonly connected: boolean;
	/** Monotonic times in milliseconds: of the last sign of life, of learning of it, of its last change of phase. */
	readonly heard: number;
	readonly learnt: number;
	readonly changed: number;
	/** Of its last heartbeat taken. */
	readonly sequence: number;
	/** Whether the loads are complete, so that a heartbeat with changes can be applied. */
	readonly isWhole: boolean;
	readonly revision: number;
	/** Of the document that it has in force; empty before it is told. */
	readonly digest: string;
	/** Work the peer has in flight, by upstream. */
	readonly loads: Table<string, Load>;
	/** What arrives at the peer, by organisation and by service. */
	readonly demands: readonly Demand[];
	readonly mixes: readonly Mix[];
};

export type MembershipState = {
	readonly phase: Phase;
	/** Monotonic time of the first tick, in milliseconds. */
	readonly began?: number;
	/** Since when this host leaves, and when it stops at the latest. */
	readonly leaving?: {readonly since: number; readonly until: number};
	/** By host. */
	readonly peers: Table<string, Peer>;
	/** Tokens that live peers have in flight, by upstream. */
	readonly work: Table<string, number>;
	/** Start of the newest incarnation seen, by host. */
	readonly newestStarts: Table<string, number>;
	/** Hosts whose links this host has asked for. */
	readonly asked: Group<string>;
	/** Hosts that have a link to this one. */
	readonly linked: Group<string>;
	/** Hosts on the platform's last list; absent before the first. */
	readonly listed?: Group<string>;
	/** Seed addresses that no host has answered at yet, as `host:port`. */
	readonly seeds: Group<string>;
	/** Of the last heartbeat sent. */
	readonly sequence: number;
	/** Monotonic times of the next heartbeat and of the next look at the peers, in milliseconds. */
	readonly nextHeartbeat: number;
	readonly nextSweep: number;
	/** Sequence number of each peer's state that was passed on last, by host. */
	readonly relayedSequences: Table<string, number>;
	/** This host's work as its domain was last told. */
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
