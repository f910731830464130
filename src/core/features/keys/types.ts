/** State of bare idempotency keys. Hosts agree on who runs a key by unanimous claims; see docs/design/idempotency-keys.md. */
import {Map as Table} from 'immutable';
import {type Member} from '../../types/peer.js';
import {type Incarnation, type Request} from '../../types/request.js';

/** Time after minting in which a key may run. */
export const keyLifetimeMs = 600_000;

/** How far a caller's clock may be ahead of a host's. */
export const maxCallerClockLeadMs = 2000;

/** How far the clocks of two hosts may differ. */
export const maxHostClockSkewMs = 1000;

/** Claims and promises stored at one host. */
export const claimLimit = 50_000;

/** Requests that may wait for one claim. */
export const waitingPerClaimLimit = 16;

/** Peers stored at one host. */
export const knownPeerLimit = 2048;

/** Another host that may run keys. */
export type KnownPeer = {
	readonly member: Member;
	/** Whether it has answered this host's handshake; from then on it asks this host before it runs a key. */
	readonly hasAnswered: boolean;
	/** Whether this incarnation has certainly ended or is leaving, so that it runs no more keys. */
	readonly ended: boolean;
};

export type ClaimProgress
	/** This host is asking the others for their promises. */
	= | {
		readonly type: 'claiming';
		readonly waiting: readonly Request[];
		/** Hosts that have not promised yet. */
		readonly pending: readonly string[];
		/** Processes that have promised, and those that other hosts name as the key's keeper. */
		readonly promised: readonly Incarnation[];
		readonly keepers: readonly Incarnation[];
		/** Whether a host, this one included, confirmed that the key has never run. */
		readonly isNotRunConfirmed: boolean;
		/** Whether a host refused to promise; it may run the key without asking this host. */
		readonly refused: boolean;
		/** When to send the claim again and when to give up, on the core's clock. */
		readonly retryAt: number;
		readonly timeoutAt: number;
	}
	/** This host is the key's keeper; the tickets feature has the entry. */
	| {readonly type: 'kept'}
	/** Promised to another host, which may run the key. */
	| {readonly type: 'yielded'; readonly to: Member}
	/** No host could confirm that the key has never run. */
	| {readonly type: 'doubtful'};

export type Claim = {
	/** Taken from the key, in milliseconds of wall-clock time since 1970. */
	readonly minted: number;
	readonly progress: ClaimProgress;
};

export type KeysState = {
	/** Keyed by host name. */
	readonly knownPeers: Table<string, KnownPeer>;
	/** Whether the platform's host list was received since the start. */
	readonly hasHostList: boolean;
	/** Whether every known peer has answered this host's handshake. Only then does this host run keys. */
	readonly isJoined: boolean;
	/** This host knows of every run of a key minted well after this wall-clock time. */
	readonly knowledgeCompleteFrom: number;
	/** Keyed by right. */
	readonly claims: Table<string, Claim>;
	/** Rights that this host is claiming. */
	readonly claiming: readonly string[];
	/** Rounds of handshakes since a peer last answered for the first time. */
	readonly rounds: number;
	/** When to send handshakes again, on the core's clock. */
	readonly nextHandshakeAt: number;
	/** When to remove expired claims, on the core's clock. */
	readonly sweepAt: number;
};

export const initialKeys: KeysState = {
	knownPeers: Table(),
	hasHostList: false,
	isJoined: false,
	knowledgeCompleteFrom: Number.MAX_SAFE_INTEGER,
	claims: Table(),
	claiming: [],
	rounds: 0,
	nextHandshakeAt: 0,
	sweepAt: 0,
};
