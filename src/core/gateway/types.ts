/** Configuration and request types of the gateway: routes, services, organisations, upstreams and requests. Times are in milliseconds. */
import {type Address} from '../types/configuration.js';

/** Whether requests may be retried: `idempotent` always, `streaming` if the stream can be resumed, `non-idempotent` never. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A service that a route sends requests to, and its share of them. */
export type RouteTarget = {
	readonly service: string;
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	readonly authority: string;
	/** Path prefix. Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	/** Time after which a request is given up. */
	readonly timeout: number;
	/** Latency target: time to the first byte of the answer. A later answer loses most of its value. */
	readonly objective: number;
	/** Longest pause between events of a stream that meets the latency target. */
	readonly pause?: number;
	/** Lower values are served first. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Maximum number of upstreams that one request is sent to. */
	readonly attempts: number;
	/** Whether requests need no API key. */
	readonly isPublic: boolean;
	/** Whether another engine may resume a stream after its last complete event. */
	readonly isResumable: boolean;
};

/** Performance model of an engine; see docs/design/engine-model.md. */
export type EngineModel = {
	/** Maximum number of requests in the batch. */
	readonly slots: number;
	/** KV memory in tokens. */
	readonly memory: number;
	/** Steps per engine iteration while the batch includes decoding requests. */
	readonly stride: number;
	/** Base duration of a step in milliseconds. */
	readonly step: number;
	/** Milliseconds that each decoding request adds to a step. */
	readonly perRequest: number;
	/** Milliseconds that each 1,000 context tokens of a decoding request add to a step. */
	readonly perThousand: number;
	/** Prompt tokens prefilled per millisecond. */
	readonly readRate: number;
	/** Attention cost: milliseconds per million pairs of a prompt token and an earlier one. */
	readonly pairs: number;
	/** Prompt tokens prefilled in one step. */
	readonly chunk: number;
	/** Milliseconds added to a step when several engines hold parts of the prompt. */
	readonly hop: number;
	/** Mean lengths of prompts and answers in tokens. */
	readonly usualPrompt: number;
	readonly usualAnswer: number;
};

/** How the engines of a service start: they are cold for a while, and take few requests meanwhile. */
export type ColdStart = {
	/** Milliseconds for which an engine is cold after its start. */
	readonly duration: number;
	/** Requests per second from all hosts together that a cold engine takes; undefined for no limit. */
	readonly rate?: number;
};

export type GatewayService = {
	readonly name: string;
	readonly healthPath: string;
	/** Connections that one upstream accepts from all hosts together. */
	readonly connections: number;
	/** Set for services of model engines, undefined for plain services. */
	readonly engine?: EngineModel;
	/** Absent if its upstreams take all requests as soon as they have started. */
	readonly coldStart?: ColdStart;
};

export type GatewayOrganisation = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Replaces the priority of the route; while a service is full, the difference moves requests in the queues of engines. */
	readonly priority?: number;
};

/** Limits on what a caller may send. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeout: number;
	readonly idleTimeout: number;
};

export type GatewayConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly GatewayService[];
	readonly limits: CallerLimits;
	/** Undefined if callers need no API keys. */
	readonly organisations?: readonly GatewayOrganisation[];
};

/** A registered upstream. */
export type GatewayUpstream = {
	readonly id: string;
	readonly service: string;
	readonly address: Address;
	readonly failureDomain: string;
	readonly slots: number;
	readonly isDraining: boolean;
	/** Version of its software, if it states one. */
	readonly version?: string;
	/** Start of its process in milliseconds since 1970, if the upstream reports it. */
	readonly started?: number;
	/** Number of this registration among those that its process has written, if the upstream reports it. */
	readonly sequence?: number;
	/** Era of the store in which the registration was written; absent if it may be from a backup. */
	readonly era?: number;
	/** Milliseconds for which the upstream was still cold as it wrote the registration; absent if it was not. */
	readonly coldRemaining?: number;
	/** Set if the upstream stated a time for which it is cold that can't be right. */
	readonly isColdTimeUnknown?: boolean;
};

/** Process of an upstream: upstreams may start again under the same id. */
export type UpstreamProcess = {
	readonly upstream: string;
	/** Its start, as in its registration. */
	readonly started?: number;
};

/** Prompt of a model request. */
export type Prompt = {
	/** Ids of its parts, in order; requests share parts, except the last one. Absent if unknown. */
	readonly parts?: readonly string[];
	readonly tokens: number;
	/** Maximum length of the answer in tokens. */
	readonly answer: number;
};

/** Properties of a request that placement and retries depend on. */
export type Demand = {
	readonly id: string;
	readonly service: string;
	readonly kind: RouteKind;
	readonly priority: number;
	/** Priority of the organisation less that of the route: negative is served earlier while the service is full. Absent if they don't differ. */
	readonly organisationPriority?: number;
	/** Time of arrival; monotonic. */
	readonly arrived: number;
	/** When the next event is due (the first one unless the answer has begun); monotonic. */
	readonly due: number;
	/** When the request times out; monotonic. */
	readonly deadline: number;
	/** Whether the caller has received part of the answer. */
	readonly hasBegun?: boolean;
	readonly pause?: number;
	readonly prompt?: Prompt;
};
