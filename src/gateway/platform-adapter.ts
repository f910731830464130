/** Interfaces that adapt the gateway to a platform: the headers of its callers and upstreams, and the control of its engines. */
import {type Agent, type IncomingHttpHeaders} from 'node:http';
import {type Address} from '../core/index.js';
import {type Prompt, type UpstreamProcess} from '../core/gateway/types.js';
import {type Clock} from '../entry/clock.js';

/** Metadata of a caller's request. */
export type RequestMetadata = {
	readonly id: string;
	/** Milliseconds that the caller will wait, if stated. */
	readonly timeout?: number;
	/** API key. */
	readonly key?: string;
	readonly prompt?: Prompt;
	/** Last event that the caller has received of a stream that it resumes. */
	readonly lastEventId?: string;
};

/** An engine that takes over a part of the prefill, and the hold that reserves its memory. */
export type Helper = {
	readonly address: Address;
	readonly hold?: string;
};

/** Metadata that the gateway adds to a request for the upstream. */
export type ForwardingMetadata = {
	/** Milliseconds until the deadline. */
	readonly left: number;
	/** Id of the intended upstream; any other one refuses the request. */
	readonly upstream: string;
	readonly organisation?: string;
	/** 0 is the most urgent; undefined for plain services. */
	readonly urgency?: number;
	readonly helpers: readonly Helper[];
	readonly lastEventId?: string;
};

/** What an upstream reports about itself in the head of a response. */
export type SelfReport = {
	/** Requests per second that it accepts from all hosts together; undefined if it reports no limit. */
	readonly rateLimit?: number;
	/** Whether it is about to stop, and accepts no new requests. */
	readonly isLeaving: boolean;
	/** Milliseconds for which it wants no more requests of this host; undefined unless it refused the request and says so. */
	readonly pause?: number;
};

/** Metadata in the head of an upstream's response. */
export type ResponseMetadata = {
	/** Id of the request that is answered. */
	readonly request?: string;
	/** Whether the upstream signed the response as its own. */
	readonly isSigned: boolean;
	/** Whether the upstream states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether another upstream than the intended one responded. */
	readonly isMisdirected: boolean;
	/** Address of the helper engine at fault, if the response names one. */
	readonly faultyEngine?: string;
	readonly report: SelfReport;
};

/** Reads and writes the headers of callers and upstreams. */
export type HeaderFormat = {
	/** @returns Metadata of the request; undefined if it has no id. */
	readonly parseRequest: (headers: IncomingHttpHeaders) => RequestMetadata | undefined;
	/** @returns Alternating names and values of the headers for the upstream. */
	readonly formatUpstreamHeaders: (raw: readonly string[], metadata: ForwardingMetadata) => readonly string[];
	readonly parseResponse: (status: number, headers: IncomingHttpHeaders) => ResponseMetadata;
};

/** Process of an engine that an order is sent to. */
export type EngineProcess = UpstreamProcess & {
	readonly address: Address;
};

/** Receives what an engine reports about itself in its response to an order that was sent at the given time. */
export type ReportListener = (engine: EngineProcess, report: SelfReport, sent: number) => void;

export type EngineControlOptions = {
	/** Connection pool of the upstreams. */
	readonly agent: Agent;
	readonly clock: Pick<Clock, 'now'>;
	readonly onReport: ReportListener;
};

/** Reserves and releases KV memory at engines. An engine that has taken the address of another one does neither. */
export type EngineControl = {
	/**
	 * @param engine - Engine.
	 * @param hold - Name of the hold; renewed if the engine already has it.
	 * @param tokens - Memory to reserve.
	 * @param lease - Milliseconds until the engine frees the memory unless the hold is renewed.
	 * @returns Whether the engine has reserved the memory.
	 */
	readonly reserve: (engine: EngineProcess, hold: string, tokens: number, lease: number) => Promise<boolean>;
	readonly release: (engine: EngineProcess, hold: string) => Promise<void>;
};

/** Upstream that a health check is sent to. */
export type HealthTarget = {
	readonly upstream: string;
	readonly address: Address;
	/** Path of the health checks of its service. */
	readonly path: string;
};

/** What a health check shows of the cold time of an upstream; nothing about its health, which responses may state falsely. */
export type HealthResult
	/** It stays cold for this many milliseconds. */
	= | {readonly type: 'cold'; readonly remaining: number}
		| {readonly type: 'warm'}
	/** The response is of no use: it didn't arrive in time, came from another upstream, or states an impossible time. */
		| {readonly type: 'ignored'; readonly reason: 'different id' | 'invalid cold time' | 'no response'; readonly value?: string};

/** Sends health checks. */
export type HealthClient = {
	/**
	 * @param target - Upstream.
	 * @returns What the check shows, within a second.
	 */
	readonly check: (target: HealthTarget) => Promise<HealthResult>;
};
