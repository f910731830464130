/** A caller's request as the core sees it, its attempts and its possible outcomes. */
import {type Address} from './configuration.js';

export type LengthClass = 'short' | 'middle' | 'long';

/** One run of a host's process. A restarted host has a new incarnation. */
export type Incarnation = {
	readonly host: string;
	/** Start of the process in milliseconds since 1970, which identifies it among the host's runs. */
	readonly started: number;
};

/** The right to run one non-idempotent request, verified before the core sees it. */
export type Ticket = {
	readonly keeper: Incarnation;
	readonly failureDomain: string;
	readonly address: Address;
	readonly sequence: number;
	readonly organisation: string;
	/** Wall-clock time in milliseconds since 1970. */
	readonly expires: number;
};

/** Proof that a request may run: whether it is idempotent, and otherwise the ticket or key that the caller presented. */
export type Proof
	/** The request may be repeated. */
	= | {readonly type: 'idempotent'}
	/** The request may not be repeated, and the caller presented neither ticket nor key. */
		| {readonly type: 'none'}
		| {readonly type: 'ticket'; readonly ticket: Ticket}
		| {readonly type: 'key'; readonly key: string};

export type Request = {
	readonly id: string;
	readonly organisation: string;
	readonly service: string;
	/** Lower values run first. */
	readonly priority: number;
	/** Both in milliseconds of the core's clock. */
	readonly arrival: number;
	readonly deadline: number;
	readonly promptTokens: number;
	/** Maximum number of output tokens; absent if the caller set none. */
	readonly outputLimit?: number;
	/** Chained hashes of the prompt's blocks, in order. */
	readonly blocks: readonly string[];
	readonly proof: Proof;
	/** Hash of organisation, service and body, equal for repeats of a request. */
	readonly fingerprint: string;
	/** Failure domain from which another host spilled the request. */
	readonly spilledFrom?: string;
	/** Number of hosts that forwarded the request before this one; absent for 0. */
	readonly hops?: number;
};

/** Prefill of one of several engines that share an attempt, in tokens. */
export type PrefillShare = {
	readonly upstream: string;
	readonly prefill: number;
};

/** One attempt to run a request at an upstream. */
export type Attempt = {
	readonly id: string;
	readonly request: string;
	readonly upstream: string;
	/** In milliseconds of the core's clock. */
	readonly began: number;
	/** Last reported incarnation of the upstream when the attempt began. */
	readonly upstreamIncarnation?: string;
	/** Work in tokens, estimated when the attempt was sent: uncached prefill and expected decode. */
	readonly prefill: number;
	readonly decode: number;
	/** Prefill tokens queued at the upstream ahead of the attempt when it was sent. */
	readonly prefillAhead: number;
	readonly length: LengthClass;
	/** Prefill of each engine, where several hold the prompt together; absent where one engine holds all of it. */
	readonly prefillShares?: readonly PrefillShare[];
	/** Whether at least one byte was written to the upstream. */
	readonly written: boolean;
	/** Time of the first frame. */
	readonly firstFrame?: number;
	/** Tokens received so far. */
	readonly received: number;
};

/** Proven result of an attempt. */
export type Ending
	/** The whole answer was received. */
	= | {readonly type: 'done'; readonly tokens: number; readonly cachedTokens?: number}
	/** The upstream accepted the request and reported a failure. */
		| {readonly type: 'failed'; readonly code: number; readonly detail: string}
	/** The upstream provably did not run the request. `overload` distinguishes a refusal under load from a failed connection. */
		| {readonly type: 'not-run'; readonly code: number; readonly overload: boolean; readonly detail: string}
	/** At least one byte was sent, and the end was not received. `relayed`: part of the answer was relayed to the caller. */
		| {readonly type: 'unknown'; readonly code: number; readonly detail: string; readonly relayed: boolean}
		| {readonly type: 'cancelled'};

/** Final outcome reported to the caller. */
export type Outcome
	= | {readonly type: 'done'}
		| {readonly type: 'failed'; readonly code: number; readonly detail?: string}
	/** The request never ran and never will. */
		| {readonly type: 'not-run'; readonly code: number; readonly detail?: string; readonly retryAfter?: number}
		| {readonly type: 'unknown'; readonly code: number; readonly detail?: string};
