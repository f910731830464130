/** Messages between hosts. */
import {type Address} from './configuration.js';
import {type Incarnation} from './request.js';
import {type LoadReport} from './upstream.js';

export type HostPhase = 'starting' | 'serving' | 'leaving';

/** Work of a host in flight at one upstream, in tokens. */
export type Load = {
	readonly upstream: string;
	readonly requests: number;
	readonly prefill: number;
	readonly decode: number;
	/** Prefill of short prompts, which engines run first; absent for 0. */
	readonly urgent?: number;
};

/** Demand of one organisation at a host. */
export type Demand = {
	readonly organisation: string;
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
};

/** Arrival rate of one model service at a host, in tokens per second for each length class of prompts. */
export type TrafficMix = {
	readonly service: string;
	readonly short: number;
	readonly middle: number;
	readonly long: number;
};

/** Upstream crashes held against a request that may be a poison request, one that crashes the upstreams that run it. */
export type Suspicion = {
	readonly fingerprint: string;
	/** Ids of upstream incarnations that ended, or seem to have ended, while the request ran there. */
	readonly crashes: readonly string[];
	/** Wall-clock time in milliseconds since 1970. */
	readonly expires: number;
};

/** Identity and addresses of a host. */
export type Member = {
	readonly incarnation: Incarnation;
	readonly failureDomain: string;
	/** Address for connections from peers. */
	readonly peerAddress: Address;
	/** Address for requests from callers and forwarding hosts. */
	readonly callerAddress: Address;
};

/** Last known state of a host, relayed to peers that have no link to it. */
export type HeartbeatSummary = {
	readonly incarnation: Incarnation;
	/** Sequence number of the last heartbeat known to the sender. */
	readonly sequence: number;
	readonly phase: HostPhase;
	readonly revision: number;
	/** Set if the sender suspects that the host has failed, because it lost the link or receives no updates. */
	readonly silent?: boolean;
	/** The heaviest loads of the host. */
	readonly loads: readonly Load[];
	readonly demands: readonly Demand[];
	readonly mixes?: readonly TrafficMix[];
};

export type PeerMessage
	/** First message on a link, sent in both directions. */
	= | {readonly type: 'hello'; readonly member: Member; readonly phase: HostPhase; readonly revision: number}
		| {
			readonly type: 'heartbeat';
			readonly sequence: number;
			readonly phase: HostPhase;
			readonly revision: number;
			readonly digest: string;
			/** Whether `loads` lists all work in flight, or only what changed since the last heartbeat. */
			readonly whole: boolean;
			readonly loads: readonly Load[];
			readonly demands: readonly Demand[];
			/** Sent only with some heartbeats, since mixes change slowly. */
			readonly mixes?: readonly TrafficMix[];
			readonly suspicions: readonly Suspicion[];
			/** Some of the members known to the sender, in rotation. */
			readonly members: readonly Member[];
			/** State of some other hosts, in rotation, for receivers that have no link to them. */
			readonly relayed: readonly HeartbeatSummary[];
		}
		/** Load reports that the sender polled itself, for hosts of the same failure domain. */
		| {readonly type: 'reports'; readonly reports: readonly LoadReport[]}
		| {readonly type: 'configuration-wanted'; readonly above: number}
	/** A complete document, as text so that its digest is the same on all hosts. */
		| {readonly type: 'configuration'; readonly text: string}
	/** New suspicions, sent without waiting for the next heartbeat. */
		| {readonly type: 'suspected'; readonly suspicions: readonly Suspicion[]}
		| RelayableMessage
	/** Message for a host to which the sender has no link. */
		| {readonly type: 'relay'; readonly from: string; readonly to: string; readonly hops: number; readonly message: RelayableMessage};

/** Messages that other hosts relay if the sender has no link to the receiver. */
export type RelayableMessage
	= | KeyMessage
	/** Requests that the keeper seal an unused right (the entitlement of a ticket or key to run once), so that it never runs. */
		| {readonly type: 'seal'; readonly id: string; readonly right: string; readonly expires: number; readonly keeper: Incarnation}
		| {readonly type: 'sealed'; readonly id: string; readonly answer: SealAnswer};

/** Messages by which hosts agree on the host that runs an idempotency key. */
export type KeyMessage
	/** Handshake of a host that is to run keys, which it may do once every known peer has answered. `digest` covers its known peers. */
	= | {readonly type: 'key-join'; readonly member: Member; readonly digest: number}
	/** Answers `key-join` with the sender's known peers, and those of them that have ended; both are empty if the digests agree. */
		| {readonly type: 'key-joined'; readonly member: Member; readonly members: readonly Member[]; readonly ended: readonly Incarnation[]}
	/** Requests a promise that the key will never run at the receiver. */
		| {readonly type: 'key-claim'; readonly id: string; readonly minted: number; readonly claimant: Member}
	/** Absent from a host of an earlier build: `answerer`, the sender. */
		| {readonly type: 'key-answer'; readonly id: string; readonly claimant: Incarnation; readonly answerer?: Incarnation; readonly answer: KeyAnswer};

export type KeyAnswer
	/** Promised never to run here, and known never to have run anywhere. */
	= | {readonly type: 'yielded'}
	/** Promised never to run here; this host started too recently to know whether it ran elsewhere. */
		| {readonly type: 'unsure'}
	/** The named host keeps the key; no other host knows its outcome. */
		| {readonly type: 'kept'; readonly by: Member}
	/** No promise was made. */
		| {readonly type: 'refused'};

export type SealAnswer
	/** The right will never run. */
	= | {readonly type: 'sealed'}
	/** The request was already sent to an upstream, or has already ended. */
		| {readonly type: 'used'};
