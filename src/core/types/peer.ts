/** Messages between the hosts of the system. */
import {type Address} from './configuration.js';
import {type Incarnation} from './request.js';
import {type Report} from './upstream.js';

export type Phase = 'starting' | 'serving' | 'leaving';

/** Work a host has in flight at one upstream. */
export type Load = {
	readonly upstream: string;
	readonly requests: number;
	readonly prefill: number;
	readonly decode: number;
	/** Prefill of short prompts, which engines take first; absent when there is none. */
	readonly urgent?: number;
};

/** Demand of one organisation at a host. */
export type Demand = {
	readonly organisation: string;
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
};

/** Work that arrives at a host for one model service, in tokens per second by prompt length. */
export type Mix = {
	readonly service: string;
	readonly short: number;
	readonly middle: number;
	readonly long: number;
};

/** A request that is believed to crash upstreams. */
export type Suspicion = {
	readonly fingerprint: string;
	/** Upstream incarnations that ended while it ran. */
	readonly crashes: readonly string[];
	/** Wall-clock time in milliseconds since 1970. */
	readonly expires: number;
};

/** A host as others know it. */
export type Member = {
	readonly incarnation: Incarnation;
	readonly failureDomain: string;
	/** Peer link and caller address. */
	readonly peerAddress: Address;
	readonly callerAddress: Address;
};

/** What a host last said of itself, passed on by another where the two have no link. */
export type Digest = {
	readonly incarnation: Incarnation;
	/** Of its last heartbeat that was heard of. */
	readonly sequence: number;
	readonly phase: Phase;
	readonly revision: number;
	/** Set when nothing was heard since, and a link to it was lost. */
	readonly silent?: boolean;
	/** The heaviest of its loads. */
	readonly loads: readonly Load[];
	readonly demands: readonly Demand[];
	readonly mixes?: readonly Mix[];
};

export type PeerMessage
	/** First message on a link, both ways. */
	= | {readonly type: 'hello'; readonly member: Member; readonly phase: Phase; readonly revision: number}
		| {
			readonly type: 'heartbeat';
			readonly sequence: number;
			readonly phase: Phase;
			readonly revision: number;
			readonly digest: string;
			/** Whole in-flight work, or only what changed since the last heartbeat. */
			readonly whole: boolean;
			readonly loads: readonly Load[];
			readonly demands: readonly Demand[];
			/** Absent when it has hardly changed. */
			readonly mixes?: readonly Mix[];
			readonly suspicions: readonly Suspicion[];
			/** Members this host hears of, a few at a time. */
			readonly members: readonly Member[];
			/** Hosts of the same failure domain, a few at a time, where it is too large for links between all. */
			readonly relayed: readonly Digest[];
		}
		/** Load reports that the sender read itself, for hosts of the same failure domain. */
		| {readonly type: 'reports'; readonly reports: readonly Report[]}
		| {readonly type: 'configuration-wanted'; readonly above: number}
	/** A whole document, as text so that its digest is the same everywhere. */
		| {readonly type: 'configuration'; readonly text: string}
	/** Suspicions that peers should not learn only with the next heartbeat. */
		| {readonly type: 'suspected'; readonly suspicions: readonly Suspicion[]}
		| RelayedMessage
	/** Passed on to a host that the sender has no link to. */
		| {readonly type: 'relay'; readonly from: string; readonly to: string; readonly hops: number; readonly message: RelayedMessage};

/** Messages that reach also a host without a link, through one that has it. */
export type RelayedMessage
	= | KeyMessage
	/** A right is to be marked never to run, if it has not. */
		| {readonly type: 'seal'; readonly id: string; readonly right: string; readonly expires: number; readonly keeper: Incarnation}
		| {readonly type: 'sealed'; readonly id: string; readonly answer: SealAnswer};

/** Messages by which hosts agree on who runs an idempotency key. */
export type KeyMessage
	/** The sender wants to run keys; it may once everyone it knows has answered. The digest is of whom it knows. */
	= | {readonly type: 'key-join'; readonly member: Member; readonly digest: number}
	/** Whom the sender knows, and who of these is over for certain; nobody where the digests agree. */
		| {readonly type: 'key-joined'; readonly member: Member; readonly members: readonly Member[]; readonly ended: readonly Incarnation[]}
	/** The claimant asks for a promise that the key never runs at the receiver. */
		| {readonly type: 'key-claim'; readonly id: string; readonly minted: number; readonly claimant: Member}
		| {readonly type: 'key-answer'; readonly id: string; readonly claimant: Incarnation; readonly answer: KeyAnswer};

export type KeyAnswer
	/** Promised never to run here, and certain that it never ran anywhere. */
	= | {readonly type: 'yielded'}
	/** Promised never to run here; this host is too young to know whether it ran. */
		| {readonly type: 'unsure'}
	/** A host keeps it, and alone can say what became of it. */
		| {readonly type: 'kept'; readonly by: Member}
	/** Nothing was promised. */
		| {readonly type: 'refused'};

export type SealAnswer
	/** Will never run. */
	= | {readonly type: 'sealed'}
	/** Already sent to an upstream, or already over. */
		| {readonly type: 'used'};
