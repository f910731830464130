/** What a host knows of the platform, as it tells a peer that asks: the configuration in force, then the upstreams. */
import {z} from 'zod';
import {type GatewayConfiguration, type GatewayUpstream} from '../../core/gateway/types.js';

const name = z.string().max(512);
const time = z.number().nonnegative();

const engine = z.object({
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

const route = z.object({
	name,
	authority: name,
	prefix: name,
	kind: z.enum(['idempotent', 'non-idempotent', 'streaming']),
	timeout: time,
	objective: time,
	pause: time.optional(),
	priority: z.number(),
	targets: z.array(z.object({service: name, weight: z.number()})).readonly(),
	attempts: z.number(),
	isPublic: z.boolean(),
	isResumable: z.boolean(),
});

export const configurationSchema = z.object({
	version: z.number(),
	routes: z.array(route).readonly(),
	services: z.array(z.object({
		name, healthPath: name, connections: z.number(), engine: engine.optional(),
	})).readonly(),
	limits: z.object({
		headerBytes: z.number(), bodyBytes: z.number(), headerTimeout: time, idleTimeout: time,
	}),
	organisations: z.array(z.object({name, keys: z.array(name).readonly(), priority: z.number().optional()})).readonly().optional(),
}) satisfies z.ZodType<GatewayConfiguration>;

export const upstreamSchema = z.object({
	id: name,
	service: name,
	address: z.object({host: name, port: z.number().int()}),
	failureDomain: name,
	slots: z.number(),
	isDraining: z.boolean(),
	started: z.number().optional(),
}) satisfies z.ZodType<GatewayUpstream>;

/** Asks a peer for what is newer than what the asker has. */
export const stateWantedSchema = z.object({
	type: z.literal('state-wanted'),
	/** Told again in the answer: the asker knows when it asked. */
	ask: z.number(),
	/** Version in force at the asker; 0 for none. */
	version: z.number(),
	/** Revision of the store up to which the asker knows each change of upstreams; 0 for none. */
	revision: z.number(),
});

/** The configuration in force, told before the state to an asker that has an older one. */
export const configurationMessageSchema = z.object({type: z.literal('configuration'), configuration: configurationSchema});

export const stateSchema = z.object({
	type: z.literal('state'),
	ask: z.number(),
	/** Milliseconds since the peer's configuration and upstreams were known to be the newest, as of this answer. */
	age: z.number(),
	/** Version in force at the peer. */
	version: z.number(),
	/** Revision of the store up to which the peer knows each change of upstreams, and that of the last one. */
	revision: z.number(),
	changed: z.number(),
	/** All that were registered as of the revision; absent where the asker has the same. */
	upstreams: z.array(upstreamSchema).max(4096).optional(),
	/** Upstreams that are registered no more and that the peer keeps, as they may only have lapsed. */
	kept: z.array(name).max(4096).optional(),
});

export type StateWanted = z.infer<typeof stateWantedSchema>;
export type PeerState = z.infer<typeof stateSchema>;
