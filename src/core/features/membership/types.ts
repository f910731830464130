/** What this host knows of the others and of its own place among them. */
import {Map as Table} from 'immutable';
import {
	type Demand, type Load, type Member, type Mix, type Phase,
} from '../../types/peer.js';

export type Peer = {
	readonly member: Member;
	readonly phase: Phase;
	readonly connected: boolean;
	/** Monotonic time of the last message, in milliseconds. */
	readonly heard: number;
	readonly revision: number;
	/** Work the peer has in flight, by upstream. */
	readonly loads: Table<string, Load>;
	/** What arrives at the peer, by organisation and by service. */
	readonly demands: readonly Demand[];
	readonly mixes: readonly Mix[];
};

export type MembershipState = {
	readonly phase: Phase;
	/** By host. */
	readonly peers: Table<string, Peer>;
};

export const initialMembership: MembershipState = {phase: 'starting', peers: Table()};
