/** Rights to run non-idempotent requests that this host keeps, and requests that it forwards to other keepers. */
import {Map as Table} from 'immutable';
import {type Member} from '../../types/peer.js';
import {type Outcome, type Request} from '../../types/request.js';

/** Time in which a caller may use a ticket. */
export const ticketLifetimeMs = 600_000;

/** Used rights stored at one host. */
export const entryLimit = 100_000;

/** Requests that may wait for another request with the same right. */
export const followerLimit = 10_000;

/** State of a right that was presented here. */
export type RightProgress
	/** Cleared: the requests feature may send it. */
	= | {readonly type: 'running'; readonly request: string}
		| {readonly type: 'ended'; readonly request: string; readonly outcome: Outcome}
	/** Refused for load before it was sent; it may be presented again. */
		| {readonly type: 'open'}
	/** Never runs. */
		| {readonly type: 'sealed'};

export type RightEntry = {
	readonly fingerprint: string;
	/** Wall-clock time after which the right never runs, in milliseconds since 1970. */
	readonly expires: number;
	readonly progress: RightProgress;
};

/** A request that waits for another request with the same right. */
export type Follower = {
	readonly right: string;
	readonly deadline: number;
};

/** A request whose right another host keeps. */
export type Forward = {
	readonly request: Request;
	readonly right: string;
	readonly keeper: Member;
	/** Times it was forwarded. */
	readonly attempts: number;
	/** Set while the keeper is asked to seal the right: when to ask again and when to give up, on the core's clock. */
	readonly seal?: {readonly retryAt: number; readonly timeoutAt: number};
};

export type TicketsState = {
	readonly nextSequence: number;
	/** Tickets below this sequence number never run unless they have an entry. */
	readonly sequenceFloor: number;
	/** Keyed by right; see `ticketRight` and `keyRight`. */
	readonly entries: Table<string, RightEntry>;
	/** Rights of running requests, keyed by request. */
	readonly running: Table<string, string>;
	/** Keyed by request. */
	readonly followers: Table<string, Follower>;
	/** Keyed by request. */
	readonly forwards: Table<string, Forward>;
	/** When to remove expired entries, on the core's clock. */
	readonly sweepAt: number;
};

export const initialTickets: TicketsState = {
	nextSequence: 1,
	sequenceFloor: 1,
	entries: Table(),
	running: Table(),
	followers: Table(),
	forwards: Table(),
	sweepAt: 0,
};
