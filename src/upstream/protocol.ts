/**
 * What a model engine speaks: HTTP and JSON as OpenAI-style servers do, with the additions that the platform's
 * engines publish for priorities, resuming, cancelling, KV memory and orders. Both the adapters and the stand-ins use it.
 *
 * POST   /v1/chat/completions                run; always answered as an event stream when `stream` is true
 * GET    /v1/attempts/{attempt}?offset=N     resume a stream at a frame offset
 * DELETE /v1/attempts/{attempt}              cancel; 204 also when the attempt is not known, so it is idempotent
 * GET    /v1/load                            {@link loadSchema}, lagged
 * GET    /v1/cache-events?since=N&wait=MS    {@link cacheEventsSchema}, late and with gaps
 * GET    /v1/holds                           {@link holdsSchema}
 * PUT    /v1/holds/{hold}                    {@link holdWantedSchema}; 201 granted, 409 no memory
 * DELETE /v1/holds/{hold}                    204, idempotent
 * POST   /v1/segments/{hold}                 prefill one segment of a prompt into a hold: {@link segmentSchema}
 * POST   /v1/kv/export/{attempt}             takes a running stream off the engine: {@link exportSchema}
 * POST   /v1/kv/import                       continues an exported stream: {@link exportSchema}
 * POST   /v1/orders                          {@link orderSchema}; 200 taken, 409 with the number seen
 * GET    /v1/orders                          {@link orderStateSchema}, fresh
 */
import {z} from 'zod';
import {targetSchema} from '../core/index.js';

export {blockTokens, charactersPerToken} from '../protocol/blocks.js';

/** Request headers. */
export const headers = {
	/** Echoed in every frame. */
	attempt: 'x-attempt-id',
	/** 0 runs first. */
	priority: 'x-priority',
	/** Milliseconds that remain. */
	timeout: 'x-timeout-ms',
	/** `host/started` of the entry host. */
	owner: 'x-owner',
	/** Comma-separated hold ids on this and other engines that together hold the prompt's KV cache. */
	holds: 'x-holds',
	/** Number of prompt tokens that callers or tests state; engines else count one per four characters. */
	promptTokens: 'x-prompt-tokens',
} as const;

/** One frame of a stream, as the data of an event whose id is `attempt/offset`. */
export const frameSchema = z.object({
	attempt: z.string(),
	/** 0 for the first frame, one more for each. */
	offset: z.number().int().nonnegative(),
	choices: z.array(z.object({
		index: z.number(),
		delta: z.object({role: z.string().optional(), content: z.string().optional()}),
		finish_reason: z.string().nullish(),
	})).readonly(),
	/** In the last frame. */
	usage: z.object({
		prompt_tokens: z.number(),
		completion_tokens: z.number(),
		cached_tokens: z.number().optional(),
	}).optional(),
});

/** Data of the event after the last frame. */
export const streamEnd = '[DONE]';

const number = z.object({counter: z.number().int(), host: z.string()}).readonly();

export const loadSchema = z.object({
	engine: z.string(),
	incarnation: z.string(),
	/** Milliseconds since the figures were true. */
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
	/** Sequence number to ask from next. */
	next: z.number().int(),
	/** Whether events before the first one given were lost. */
	gap: z.boolean(),
	changes: z.array(z.object({
		sequence: z.number().int(),
		type: z.enum(['stored', 'evicted', 'cleared']),
		blocks: z.array(z.string()).readonly(),
	})).readonly(),
});

const owner = z.object({host: z.string(), started: z.number()}).readonly();

export const holdWantedSchema = z.object({
	owner,
	tokens: z.number().int().positive(),
	/** Wall-clock time in milliseconds since 1970. */
	deadline: z.number(),
});

export const holdsSchema = z.object({
	incarnation: z.string(),
	holds: z.array(holdWantedSchema.extend({id: z.string()})).readonly(),
});

export const segmentSchema = z.object({
	/** Range of prompt tokens, the end excluded. */
	from: z.number().int(),
	to: z.number().int(),
	blocks: z.array(z.string()).readonly(),
});

export const exportSchema = z.object({
	attempt: z.string(),
	/** Offset of the next frame. */
	offset: z.number().int(),
	prompt: z.number().int(),
	/** Opaque to everyone but engines. */
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
export type HoldWanted = z.infer<typeof holdWantedSchema>;
export type Holds = z.infer<typeof holdsSchema>;
export type SegmentWork = z.infer<typeof segmentSchema>;
export type Export = z.infer<typeof exportSchema>;
export type OrderBody = z.infer<typeof orderSchema>;
export type OrderState = z.infer<typeof orderStateSchema>;
