/** What this host knows of the others and of its own place among them. */
import {Map as Table} from 'immutable';
import {type Load, type Member, type Phase} from '../../types/peer.js';

export type Peer = {
	readonly member: Member;
	readonly phase: Phase;
	readonly connected: boolean;
	/** Monotonic time of the last message, in milliseconds. */
	readonly heard: number;
	readonly revision: number;
	/** Work the peer has in flight, by upstream. */
	readonly loads: Table<string, Load>;
};

export type MembershipState = {
	readonly phase: Phase;
	/** By host. */
	readonly peers: Table<string, Peer>;
};

export const initialMembership: MembershipState = {phase: 'starting', peers: Table()};
