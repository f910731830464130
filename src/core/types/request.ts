/** A caller's request as the core sees it, the attempts made for it and the ways it may end. */
import {type Address} from './configuration.js';

export type LengthClass = 'short' | 'middle' | 'long';

/** One run of a host's process. A restarted host has another incarnation. */
export type Incarnation = {
	readonly host: string;
	/** Unique to the process: the time of its start, in milliseconds since 1970. */
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

/** What the caller showed for a request. */
export type Proof
	/** The request may be repeated. */
	= | {readonly type: 'idempotent'}
	/** It may not, and the caller showed nothing. */
		| {readonly type: 'none'}
		| {readonly type: 'ticket'; readonly ticket: Ticket}
		| {readonly type: 'key'; readonly key: string};

export type Request = {
	readonly id: string;
	readonly organisation: string;
	readonly service: string;
	/** Lower runs first. */
	readonly priority: number;
	/** Both in milliseconds of the core's clock. */
	readonly arrival: number;
	readonly deadline: number;
	readonly promptTokens: number;
	/** The most tokens the caller takes, if it said. */
	readonly outputLimit?: number;
	/** Chained hashes of the prompt's blocks, first block first. */
	readonly blocks: readonly string[];
	readonly proof: Proof;
	/** Hash of organisation, service and body: equal for a request sent again. */
	readonly fingerprint: string;
	/** Domain the request was spilled from, where another host passed it on. */
	readonly spilledFrom?: string;
	/** Hosts that passed it on before this one; absent for 0. */
	readonly hops?: number;
};

/** Prefill that one engine of several does for an attempt, in tokens. */
export type Part = {
	readonly upstream: string;
	readonly prefill: number;
};

/** One sending of a request to one upstream. */
export type Attempt = {
	readonly id: string;
	readonly request: string;
	readonly upstream: string;
	/** In milliseconds of the core's clock. */
	readonly began: number;
	/** Upstream incarnation as last reported when the attempt began. */
	readonly upstreamIncarnation?: string;
	/** Tokens of work estimated when it was sent: uncached prefill and expected decode. */
	readonly prefill: number;
	readonly decode: number;
	/** Tokens of prefill that the upstream had before it when it was sent. */
	readonly ahead: number;
	readonly length: LengthClass;
	/** Parts of the work at the engines that hold the prompt together; absent when one engine holds it all. */
	readonly parts?: readonly Part[];
	/** Set once at least one byte was written to the upstream. */
	readonly written: boolean;
	/** Time of the first frame. */
	readonly firstFrame?: number;
	/** Tokens received so far. */
	readonly received: number;
};

/** What is provably true of an attempt that is over. */
export type Ending
	/** The whole answer was received. */
	= | {readonly type: 'done'; readonly tokens: number; readonly cachedTokens?: number}
	/** The upstream answered that it failed after taking the request. */
		| {readonly type: 'failed'; readonly code: number; readonly detail: string}
	/** The upstream provably did not run it; `overload` tells a refusal for load from a broken connection. */
		| {readonly type: 'not-run'; readonly code: number; readonly overload: boolean; readonly detail: string}
	/** Some byte was sent and the end was not seen. */
		| {readonly type: 'unknown'; readonly code: number; readonly detail: string; readonly relayed: boolean}
		| {readonly type: 'cancelled'};

/** What a caller is told at the end. */
export type Outcome
	= | {readonly type: 'done'}
		| {readonly type: 'failed'; readonly code: number; readonly detail?: string}
	/** Never ran and never will under this request. */
		| {readonly type: 'not-run'; readonly code: number; readonly detail?: string; readonly retryAfter?: number}
		| {readonly type: 'unknown'; readonly code: number; readonly detail?: string};
