/**
 * Schemas of a host's admin API, which serves operators on a separate listener. Requests and responses are JSON.
 *
 * GET  /admin/status                          {@link statusSchema}
 * GET  /admin/configuration                   {@link configurationInForceSchema}; an error with `notConfigured` before the first document
 * GET  /admin/decisions?request=ID&limit=N    {@link decisionsSchema}; decisions on all requests without `request`
 * POST /admin/drain                           {@link drainRequestSchema}; 202 with {@link drainResponseSchema}, also if the host is already leaving
 *
 * Every other response is an {@link errorSchema}.
 */
import {z} from 'zod';
import {targetSchema} from '../core/index.js';

/** Number of recent decisions returned if the query has no `limit`; older ones are in the host's log. */
export const defaultDecisionLimit = 2000;

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
	/** This host's own work in flight: number of requests, and tokens of prefill and decode. */
	requests: z.number().int(),
	prefill: z.number(),
	decode: z.number(),
	/** Last report of the upstream; absent until it sends one. */
	report: z.object({
		incarnation: z.string(),
		ready: z.boolean(),
		running: z.number(),
		waiting: z.number(),
		/** Tokens of KV memory. */
		usedMemory: z.number(),
		memory: z.number(),
		/** Age of the reported values in milliseconds. */
		age: z.number(),
		current: targetSchema.optional(),
		loading: targetSchema.optional(),
	}).readonly().optional(),
}).readonly();

const queue = z.object({
	service: z.string(),
	waiting: z.number().int(),
	running: z.number().int(),
	/** Time that the oldest waiting request has waited, in milliseconds. */
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

export const configurationInForceSchema = z.object({
	host: z.string(),
	revision: z.number().int(),
	digest: z.string(),
	/** The document as it was published. */
	text: z.string(),
}).readonly();

/** A decision as the core logs it; the other fields depend on its type. */
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

export const drainRequestSchema = z.object({
	/** Time for running requests to finish, in milliseconds; defaults to the host's setting. */
	grace: z.number().int().positive().optional(),
}).readonly();

export const drainResponseSchema = z.object({
	host: z.string(),
	phase,
	/** Requests that have not finished yet. */
	unfinished: z.number().int(),
}).readonly();

/** One conviction of the gateway. Ages are in milliseconds. */
export const convictionReportSchema = z.object({
	service: z.string(),
	/** Version of the engines that crash; absent for all. */
	version: z.string().optional(),
	/** Requests with all of these are refused. */
	causes: z.array(z.string()).readonly(),
	/** Number of crashes; 0 if an operator has added it. */
	crashes: z.number().int(),
	/** Since the first crash, or since the operator's order. */
	since: z.number(),
	/** Since the last crash. */
	last: z.number().optional(),
	/** In the operator's words. */
	reason: z.string().optional(),
}).readonly();

export const convictionsSchema = z.object({
	host: z.string(),
	/** Attempts in memory that ended with a crash. */
	attempts: z.number().int(),
	convictions: z.array(convictionReportSchema).readonly(),
}).readonly();

/** Longest name of a service and reason of an order, in characters. */
const maxOrderTextLength = 200;

export const convictionOrderSchema = z.object({
	service: z.string().min(1).max(maxOrderTextLength),
	/** `part:ID` or `request:FINGERPRINT`. */
	cause: z.string(),
	action: z.enum(['add', 'lift']),
	reason: z.string().max(maxOrderTextLength).default(''),
}).readonly();

export const errorSchema = z.object({
	error: z.object({
		code: z.number().int(),
		message: z.string(),
	}).readonly(),
}).readonly();

export type Status = z.infer<typeof statusSchema>;
export type ConfigurationInForce = z.infer<typeof configurationInForceSchema>;
export type LoggedDecision = z.infer<typeof loggedDecisionSchema>;
export type Decisions = z.infer<typeof decisionsSchema>;
export type ConvictionReport = z.infer<typeof convictionReportSchema>;
export type Convictions = z.infer<typeof convictionsSchema>;
export type ConvictionOrder = z.infer<typeof convictionOrderSchema>;
export type DrainRequest = z.infer<typeof drainRequestSchema>;
export type DrainResponse = z.infer<typeof drainResponseSchema>;
