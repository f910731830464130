/** Rights to run non-idempotent requests that this host keeps, and requests it passes on to other keepers. */
import {Map as Table} from 'immutable';
import {type Member} from '../../types/peer.js';
import {type Outcome, type Request} from '../../types/request.js';

/** Time a caller may use a ticket, in milliseconds. */
export const ticketLife = 600_000;

/** Used rights remembered at one host. */
export const entryLimit = 100_000;

/** Requests that may wait for the end of another with the same right. */
export const followerLimit = 10_000;

/** What became of a right that was shown here. */
export type RightProgress
	/** Given to the requests feature, which may send it. */
	= | {readonly type: 'running'; readonly request: string}
		| {readonly type: 'ended'; readonly request: string; readonly outcome: Outcome}
	/** Refused for load before it was sent; it may be shown again. */
		| {readonly type: 'open'}
	/** Never to run. */
		| {readonly type: 'sealed'};

export type RightEntry = {
	readonly fingerprint: string;
	/** Wall-clock time after which the right never runs, in milliseconds since 1970. */
	readonly expires: number;
	readonly progress: RightProgress;
};

/** A request that waits for the end of another with the same right. */
export type Follower = {
	readonly right: string;
	readonly deadline: number;
};

/** A request whose right another host keeps. */
export type Forward = {
	readonly request: Request;
	readonly right: string;
	readonly keeper: Member;
	/** Times it was passed on. */
	readonly attempts: number;
	/** Present while the keeper is asked to seal it: when to ask again and when to give up, on the core's clock. */
	readonly seal?: {readonly retryAt: number; readonly timeoutAt: number};
};

export type TicketsState = {
	readonly nextSequence: number;
	/** Tickets below this sequence that have no entry never run. */
	readonly sequenceFloor: number;
	/** By right; see `rightOf`. */
	readonly entries: Table<string, RightEntry>;
	/** Right of each request that runs under one. */
	readonly running: Table<string, string>;
	/** By request. */
	readonly followers: Table<string, Follower>;
	readonly forwards: Table<string, Forward>;
	/** When entries are next looked through, on the core's clock. */
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
