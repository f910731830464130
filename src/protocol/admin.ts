/**
 * What a host tells its operators, on a listener of its own. JSON both ways.
 *
 * GET  /admin/status                          {@link statusSchema}
 * GET  /admin/configuration                   {@link inForceSchema}; an error body with `notConfigured` before the first
 * GET  /admin/decisions?request=ID&limit=N    {@link decisionsSchema}; without `request`, of every request
 * POST /admin/drain                           {@link drainWantedSchema}; 202 with {@link drainSchema}, also when already leaving
 *
 * Any other answer is an {@link errorSchema}.
 */
import {z} from 'zod';
import {targetSchema} from '../core/index.js';

/** Recent decisions that a host keeps for {@link decisionsSchema}; older ones are in its log. */
export const decisionsKept = 2000;

const incarnation = z.object({
	host: z.string(),
	/** Milliseconds since 1970. */
	started: z.number(),
}).readonly();

const phase = z.enum(['starting', 'serving', 'leaving']);

const peer = z.object({
	incarnation,
	failureDomain: z.string(),
	phase,
	connected: z.boolean(),
	revision: z.number().int(),
	/** Milliseconds since its last message. */
	silence: z.number(),
}).readonly();

const upstream = z.object({
	id: z.string(),
	kind: z.enum(['engine', 'plain', 'legacy']),
	service: z.string(),
	failureDomain: z.string(),
	reachable: z.boolean(),
	/** This host's own work in flight: requests, and tokens of prefill and decode. */
	requests: z.number().int(),
	prefill: z.number(),
	decode: z.number(),
	/** The upstream's last report, if any came. */
	report: z.object({
		incarnation: z.string(),
		ready: z.boolean(),
		running: z.number(),
		waiting: z.number(),
		/** Tokens of KV memory. */
		usedMemory: z.number(),
		memory: z.number(),
		/** Milliseconds since the figures were true. */
		age: z.number(),
		current: targetSchema.optional(),
		loading: targetSchema.optional(),
	}).readonly().optional(),
}).readonly();

const queue = z.object({
	service: z.string(),
	waiting: z.number().int(),
	running: z.number().int(),
	/** Milliseconds that the oldest waiting request has waited. */
	longestWait: z.number(),
}).readonly();

export const statusSchema = z.object({
	incarnation,
	failureDomain: z.string(),
	phase,
	/** 0 before the first document. */
	revision: z.number().int(),
	digest: z.string(),
	peers: z.array(peer).readonly(),
	upstreams: z.array(upstream).readonly(),
	queues: z.array(queue).readonly(),
}).readonly();

export const inForceSchema = z.object({
	host: z.string(),
	revision: z.number().int(),
	digest: z.string(),
	/** The document as it was published. */
	text: z.string(),
}).readonly();

/** A decision as the core logs it; fields beside the type depend on it. */
export const loggedDecisionSchema = z.looseObject({type: z.string()}).readonly();

export const decisionsSchema = z.object({
	host: z.string(),
	/** Oldest first. */
	decisions: z.array(z.object({
		/** Milliseconds since 1970. */
		time: z.number(),
		decision: loggedDecisionSchema,
	}).readonly()).readonly(),
	/** Whether older decisions have been dropped. */
	dropped: z.boolean(),
}).readonly();

export const drainWantedSchema = z.object({
	/** Milliseconds given to running requests; the host's setting when absent. */
	grace: z.number().int().positive().optional(),
}).readonly();

export const drainSchema = z.object({
	host: z.string(),
	phase,
	/** Requests still to finish. */
	unfinished: z.number().int(),
}).readonly();

export const errorSchema = z.object({
	error: z.object({
		code: z.number().int(),
		message: z.string(),
	}).readonly(),
}).readonly();

export type Status = z.infer<typeof statusSchema>;
export type InForce = z.infer<typeof inForceSchema>;
export type LoggedDecision = z.infer<typeof loggedDecisionSchema>;
export type Decisions = z.infer<typeof decisionsSchema>;
export type DrainWanted = z.infer<typeof drainWantedSchema>;
export type Drain = z.infer<typeof drainSchema>;
