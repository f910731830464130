/** Messages by which a host gets the platform's state from a peer: the configuration in force, then the upstreams. */
import {z} from 'zod';
import {maxEvacuatedDomains} from '../../core/gateway/registry/evacuations.js';
import {type GatewayConfiguration, type GatewayUpstream} from '../../core/gateway/types.js';

const nameSchema = z.string().max(512);
const timeSchema = z.number().nonnegative();

/** Resources and speed of an engine. */
export const engineSchema = z.object({
	slots: z.number(),
	memory: z.number(),
	stride: z.number(),
	step: z.number(),
	perRequest: z.number(),
	perThousand: z.number(),
	readRate: z.number(),
	pairs: z.number(),
	chunk: z.number(),
	hop: z.number(),
	usualPrompt: z.number(),
	usualAnswer: z.number(),
});

const coldStartSchema = z.object({duration: timeSchema, rate: z.number().positive().optional()});

const routeSchema = z.object({
	name: nameSchema,
	authority: nameSchema,
	prefix: nameSchema,
	kind: z.enum(['idempotent', 'non-idempotent', 'streaming']),
	timeout: timeSchema,
	objective: timeSchema,
	pause: timeSchema.optional(),
	priority: z.number(),
	targets: z.array(z.object({service: nameSchema, weight: z.number()})).readonly(),
	attempts: z.number(),
	isPublic: z.boolean(),
	isResumable: z.boolean(),
});

export const configurationSchema = z.object({
	version: z.number(),
	routes: z.array(routeSchema).readonly(),
	services: z.array(z.object({
		name: nameSchema, healthPath: nameSchema, connections: z.number(), engine: engineSchema.optional(), coldStart: coldStartSchema.optional(),
	})).readonly(),
	limits: z.object({
		headerBytes: z.number(), bodyBytes: z.number(), headerTimeout: timeSchema, idleTimeout: timeSchema,
	}),
	organisations: z.array(z.object({name: nameSchema, keys: z.array(nameSchema).readonly(), priority: z.number().optional()})).readonly().optional(),
}) satisfies z.ZodType<GatewayConfiguration>;

/** Era of the store; absent from a host that doesn't know of eras. */
const eraSchema = z.number().int().nonnegative().optional();

export const upstreamSchema = z.object({
	id: nameSchema,
	service: nameSchema,
	address: z.object({host: nameSchema, port: z.number().int()}),
	failureDomain: nameSchema,
	slots: z.number(),
	isDraining: z.boolean(),
	version: nameSchema.optional(),
	started: z.number().optional(),
	sequence: z.number().optional(),
	era: eraSchema,
	coldRemaining: timeSchema.optional(),
	isColdTimeUnknown: z.boolean().optional(),
}) satisfies z.ZodType<GatewayUpstream>;

/** What a host knows of the store's newest content, by which peers notice that they are behind. */
export const stateSummarySchema = z.object({
	era: eraSchema,
	/** Milliseconds since the sender learned of the era. */
	eraAge: timeSchema.optional(),
	/** Version of the configuration in force; 0 for none. */
	version: z.number().optional(),
});

/** Requests what is newer than the requester's state. */
export const stateRequestSchema = z.object({
	type: z.literal('state-wanted'),
	/** Id of the request, repeated in the response. */
	ask: z.number(),
	/** Version of the configuration in force at the requester; 0 for none. */
	version: z.number(),
	/** Revision of the store up to which the requester knows every change of upstreams; 0 for none. */
	revision: z.number(),
	era: eraSchema,
});

/** The configuration in force, sent before the state to a requester that has an older one. */
export const configurationMessageSchema = z.object({type: z.literal('configuration'), configuration: configurationSchema});

export const stateSchema = z.object({
	type: z.literal('state'),
	ask: z.number(),
	/** Milliseconds since the peer's configuration and upstreams were last confirmed current, as of this response. */
	age: z.number(),
	/** Version of the configuration in force at the peer. */
	version: z.number(),
	/** Revision of the store up to which the peer knows every change of upstreams. */
	revision: z.number(),
	era: eraSchema,
	eraAge: timeSchema.optional(),
	/** Revision of the last change of upstreams, in the same era. */
	changed: z.number(),
	/** All upstreams registered as of the revision; absent if the requester has the same. */
	upstreams: z.array(upstreamSchema).max(4096).optional(),
	/** Registrations that a backup of the store brought back after their removal; sent with `upstreams`. */
	withheld: z.array(upstreamSchema).max(4096).optional(),
	/** Evacuated failure domains as of the revision; sent with `upstreams`, absent from a host that doesn't know of evacuations. */
	evacuated: z.array(nameSchema).max(maxEvacuatedDomains).optional(),
	/** Upstreams whose registration is gone and that the peer keeps in use, as it may merely have expired during an outage of the store. */
	kept: z.array(nameSchema).max(4096).optional(),
});

export type StateSummary = Readonly<z.infer<typeof stateSummarySchema>>;
export type StateRequest = z.infer<typeof stateRequestSchema>;
export type PeerState = z.infer<typeof stateSchema>;
