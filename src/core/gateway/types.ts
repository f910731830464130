/** What the gateway serves: routes, services, organisations, upstreams and requests. Times are in milliseconds. */
import {type Address} from '../types/configuration.js';

/** What may be repeated: `idempotent` always, `streaming` where the stream can be resumed, `non-idempotent` never. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A service that a route leads to and its share of the route's requests. */
export type RouteTarget = {
	readonly service: string;
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	readonly authority: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	/** Longest time that a caller is kept waiting. */
	readonly timeout: number;
	/** Time to the first byte of the answer within which it is worth most. */
	readonly objective: number;
	/** Longest pause between events within which a stream is worth most. */
	readonly pause?: number;
	/** Lower goes first. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Upstreams that one request may be sent to. */
	readonly attempts: number;
	/** Needs no key. */
	readonly isPublic: boolean;
	/** A stream may go on at another engine after its last whole event. */
	readonly isResumable: boolean;
};

/** How an engine spends its time; see docs/design/engine-model.md. */
export type EngineModel = {
	/** Requests in one batch. */
	readonly slots: number;
	/** Tokens of KV memory. */
	readonly memory: number;
	/** Steps of one pass that includes requests being written. */
	readonly stride: number;
	/** Milliseconds of a step, and what each request being written adds. */
	readonly step: number;
	readonly perRequest: number;
	/** Milliseconds that each 1,000 tokens of a written request's context add to a step. */
	readonly perThousand: number;
	/** Prompt tokens read in a millisecond. */
	readonly readRate: number;
	/** Milliseconds for a million pairs of a prompt token and an earlier one. */
	readonly pairs: number;
	/** Prompt tokens read in one step. */
	readonly chunk: number;
	/** Milliseconds a step takes longer when the prompt lies at several engines. */
	readonly hop: number;
	/** Mean tokens of prompts and answers. */
	readonly usualPrompt: number;
	readonly usualAnswer: number;
};

export type GatewayService = {
	readonly name: string;
	readonly healthPath: string;
	/** Connections that one upstream accepts from all hosts. */
	readonly connections: number;
	/** Present for services of model engines. */
	readonly engine?: EngineModel;
};

export type GatewayOrganisation = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Goes before the priority of the route. */
	readonly priority?: number;
};

/** Bounds on what a caller may send. */
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
	/** Undefined where callers need no keys at all. */
	readonly organisations?: readonly GatewayOrganisation[];
};

/** A running upstream as it is registered. */
export type GatewayUpstream = {
	readonly id: string;
	readonly service: string;
	readonly address: Address;
	readonly failureDomain: string;
	readonly slots: number;
	readonly isDraining: boolean;
	/** Milliseconds since 1970 of its start, where it tells. */
	readonly started?: number;
};

/** Size of a model request. */
export type Prompt = {
	readonly tokens: number;
	/** Most tokens of the answer. */
	readonly answer: number;
};

/** What a request asks of an upstream, as far as decisions need it. */
export type Demand = {
	readonly id: string;
	readonly service: string;
	readonly kind: RouteKind;
	readonly priority: number;
	/** Monotonic time. */
	readonly arrived: number;
	/** When the next event is due, which is the first unless the answer has begun, and when the request is over; monotonic. */
	readonly due: number;
	readonly deadline: number;
	/** Whether the caller has a part of the answer. */
	readonly isBegun?: boolean;
	readonly pause?: number;
	readonly prompt?: Prompt;
};
