/** Bare idempotency keys: who may run each, agreed by unanimous claims. docs/design/idempotency-keys.md gives the reasons. */
import {Map as Table} from 'immutable';
import {type Member} from '../../types/peer.js';
import {type Request} from '../../types/request.js';

/** Time after its minting in which a key may run, in milliseconds. */
export const keyLifetimeMs = 600_000;

/** How far a caller's clock may be ahead, and how far hosts' clocks may be apart, in milliseconds. */
export const maxCallerClockLeadMs = 2000;
export const maxHostClockSkewMs = 1000;

/** Claims and promises remembered at one host. */
export const claimLimit = 50_000;

/** Requests that may wait for one claim. */
export const waitingPerClaimLimit = 16;

/** Hosts remembered. */
export const knownPeerLimit = 2048;

/** Another host that may run keys. */
export type KnownPeer = {
	readonly member: Member;
	/** Whether it has answered this host's introduction, and so will ask it about each key. */
	readonly hasAnswered: boolean;
	/** Whether it is over for certain, or leaving: it runs no key from now on. */
	readonly ended: boolean;
};

export type ClaimProgress
	/** This host asks the others. */
	= | {
		readonly type: 'claiming';
		readonly waiting: readonly Request[];
		/** Hosts whose promise is missing. */
		readonly pending: readonly string[];
		/** Whether somebody was certain that the key never ran. */
		readonly isNotRunConfirmed: boolean;
		/** Whether a host gave no promise, so that it may run the key without this host. */
		readonly refused: boolean;
		/** When to ask again and when to give up, on the core's clock. */
		readonly retryAt: number;
		readonly timeoutAt: number;
	}
	/** This host keeps it; the tickets feature has the entry. */
	| {readonly type: 'kept'}
	/** Promised to another host. */
	| {readonly type: 'yielded'; readonly to: Member}
	/** Nobody could tell whether it ran. */
	| {readonly type: 'doubtful'};

export type Claim = {
	/** From the key, wall-clock time in milliseconds since 1970. */
	readonly minted: number;
	readonly progress: ClaimProgress;
};

export type KeysState = {
	/** By host. */
	readonly acquaintances: Table<string, KnownPeer>;
	/** Whether the platform's list was seen since the start. */
	readonly hasHostList: boolean;
	/** Whether everyone known has answered this host's introduction. */
	readonly joined: boolean;
	/** Keys minted well after this wall-clock time cannot have run without this host knowing it. */
	readonly vouchFrom: number;
	/** By right. */
	readonly claims: Table<string, Claim>;
	/** Rights that this host is claiming now. */
	readonly claiming: readonly string[];
	/** Rounds of introductions since somebody was last met. */
	readonly rounds: number;
	/** When to introduce itself again and when to forget old claims, on the core's clock. */
	readonly nextHandshakeAt: number;
	readonly sweepAt: number;
};

export const initialKeys: KeysState = {
	acquaintances: Table(),
	hasHostList: false,
	joined: false,
	vouchFrom: Number.MAX_SAFE_INTEGER,
	claims: Table(),
	claiming: [],
	rounds: 0,
	nextHandshakeAt: 0,
	sweepAt: 0,
};
