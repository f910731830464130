/**
 * Protocol of model engines: the HTTP and JSON interface of OpenAI-style servers, extended by the platform's engines with
 * priorities, resumption, cancellation, KV memory and orders. Shared by the adapters and the stand-ins.
 *
 * POST   /v1/chat/completions                run an attempt; an event stream when `stream` is true
 * GET    /v1/attempts/{attempt}?offset=N     resume a stream at a frame offset
 * DELETE /v1/attempts/{attempt}              cancel; idempotent: 204 also for an unknown attempt
 * GET    /v1/load                            {@link loadSchema}, with a lag
 * GET    /v1/cache-events?since=N&wait=MS    {@link cacheEventsSchema}, delayed and possibly with gaps
 * GET    /v1/holds                           {@link holdsSchema}
 * PUT    /v1/holds/{hold}                    {@link holdRequestSchema}; 201 granted, 409 out of memory
 * DELETE /v1/holds/{hold}                    204, idempotent
 * POST   /v1/segments/{hold}                 prefill one segment of a prompt into a hold: {@link segmentRequestSchema}
 * POST   /v1/kv/export/{attempt}             remove a running stream from the engine: {@link exportSchema}
 * POST   /v1/kv/import                       continue an exported stream: {@link exportSchema}
 * POST   /v1/orders                          {@link orderSchema}; 200 accepted, 409 with the highest number seen
 * GET    /v1/orders                          {@link orderStateSchema}, without lag
 */
import {z} from 'zod';
import {targetSchema} from '../core/index.js';

export {blockTokens, charactersPerToken} from '../protocol/blocks.js';

/** Request headers. */
export const engineHeaders = {
	/** Echoed in every frame. */
	attempt: 'x-attempt-id',
	/** 0 is the most urgent. */
	priority: 'x-priority',
	/** Remaining time in milliseconds. */
	timeout: 'x-timeout-ms',
	/** Entry host as `host/started`. */
	owner: 'x-owner',
	/** Comma-separated ids of holds, on this and other engines, that together contain the prompt's KV cache. */
	holds: 'x-holds',
	/** Number of prompt tokens stated by callers or tests; engines otherwise count one per four characters. */
	promptTokens: 'x-prompt-tokens',
} as const;

/** One frame of a stream: the data of a server-sent event with the id `attempt/offset`. */
export const frameSchema = z.object({
	attempt: z.string(),
	/** Counts frames from 0. */
	offset: z.number().int().nonnegative(),
	choices: z.array(z.object({
		index: z.number(),
		delta: z.object({role: z.string().optional(), content: z.string().optional()}),
		finish_reason: z.string().nullish(),
	})).readonly(),
	/** Present in the last frame only. */
	usage: z.object({
		prompt_tokens: z.number(),
		completion_tokens: z.number(),
		cached_tokens: z.number().optional(),
	}).optional(),
});

/** Data of the event that follows the last frame. */
export const streamEnd = '[DONE]';

const number = z.object({counter: z.number().int(), host: z.string()}).readonly();

export const loadSchema = z.object({
	engine: z.string(),
	incarnation: z.string(),
	/** Age of the figures in milliseconds. */
	age: z.number(),
	ready: z.boolean(),
	running: z.number(),
	waiting: z.number(),
	queuedPrefill: z.number(),
	usedMemory: z.number(),
	memory: z.number(),
	current: targetSchema.optional(),
	loading: targetSchema.optional(),
	orderNumber: number.optional(),
});

export const cacheEventsSchema = z.object({
	incarnation: z.string(),
	/** Sequence number for the next call. */
	next: z.number().int(),
	/** Whether events before the first returned one were lost. */
	gap: z.boolean(),
	changes: z.array(z.object({
		sequence: z.number().int(),
		type: z.enum(['stored', 'evicted', 'cleared']),
		blocks: z.array(z.string()).readonly(),
	})).readonly(),
});

const owner = z.object({host: z.string(), started: z.number()}).readonly();

export const holdRequestSchema = z.object({
	owner,
	tokens: z.number().int().positive(),
	/** Milliseconds since 1970. */
	deadline: z.number(),
});

export const holdsSchema = z.object({
	incarnation: z.string(),
	holds: z.array(holdRequestSchema.extend({id: z.string()})).readonly(),
});

export const segmentRequestSchema = z.object({
	/** First token of the range. */
	from: z.number().int(),
	/** End of the range, exclusive. */
	to: z.number().int(),
	blocks: z.array(z.string()).readonly(),
});

export const exportSchema = z.object({
	attempt: z.string(),
	/** Offset of the next frame. */
	offset: z.number().int(),
	/** Number of prompt tokens. */
	prompt: z.number().int(),
	/** Opaque data that only engines interpret. */
	cache: z.string(),
});

export const orderSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('load'), number, target: targetSchema}),
	z.object({type: z.literal('seal'), number}),
]);

export const orderStateSchema = z.object({
	incarnation: z.string(),
	highest: number.optional(),
	current: targetSchema.optional(),
	loading: targetSchema.optional(),
});

export type Frame = z.infer<typeof frameSchema>;
export type EngineLoad = z.infer<typeof loadSchema>;
export type CacheEvents = z.infer<typeof cacheEventsSchema>;
export type HoldRequest = z.infer<typeof holdRequestSchema>;
export type Holds = z.infer<typeof holdsSchema>;
export type SegmentRequest = z.infer<typeof segmentRequestSchema>;
export type Export = z.infer<typeof exportSchema>;
export type OrderBody = z.infer<typeof orderSchema>;
export type OrderState = z.infer<typeof orderStateSchema>;
