/** Settings of the model engine stand-in. Durations are milliseconds of engine time, which runs `timeScale` times as fast as real time. */
import {z} from 'zod';
import {targetSchema} from '../../src/core/index.js';
import {addressSchema, listenSchema, millisecondsSchema} from '../common/settings.js';

export const engineSettingsSchema = z.object({
	id: z.string().min(1),
	listen: listenSchema.prefault({}),
	/** KV memory, in tokens. */
	memory: z.number().int().positive().default(400_000),
	/** Prompt tokens per second, shared by the whole batch. */
	prefillRate: z.number().positive().default(10_000),
	/** Time between tokens in a batch of one request. */
	decodeInterval: millisecondsSchema.default(25),
	/** Fraction of the decode interval that each further request in the batch adds to it. */
	batchSlowdown: z.number().nonnegative().default(0.02),
	/** Maximum number of requests in a batch. */
	batch: z.number().int().positive().default(32),
	/** Maximum number of prompt tokens processed in one iteration; decoding of all running requests waits for them. */
	chunk: z.number().int().positive().default(1024),
	/** Whether orders with an outdated fencing number are refused. */
	fencing: z.boolean().default(true),
	/** Model loaded at the start; without it requests are refused until an order loads a model. */
	target: targetSchema.optional(),
	/** Whether a request for a model or adapter that is not loaded is refused. */
	checkModel: z.boolean().default(false),
	/** Range of answer lengths in tokens. The prompt's digest selects one; the request's `max_tokens` caps it. */
	answer: z.object({
		least: z.number().int().positive().default(16),
		most: z.number().int().positive().default(256),
	}).readonly().prefault({}),
	/** Age of reported load figures. */
	reportLag: millisecondsSchema.default(500),
	/** Publication delay of cache events, and the fraction of them that is lost. */
	cacheEvents: z.object({
		delay: millisecondsSchema.default(1000),
		loss: z.number().min(0).max(1).default(0.01),
	}).readonly().prefault({}),
	/** Time to load a model or version after its weights were downloaded. */
	loadTime: millisecondsSchema.default(20_000),
	/** Time to load an adapter after its weights were downloaded. */
	adapterTime: millisecondsSchema.default(2000),
	/** KV cache tokens exported or imported per second. */
	transferRate: z.number().positive().default(1_000_000),
	/** Time for which an ended attempt is remembered; a finished one can be resumed until then. */
	retention: millisecondsSchema.default(60_000),
}).readonly();

export const settingsSchema = z.object({
	/** Engine time that passes per unit of real time. */
	timeScale: z.number().positive().default(1),
	seed: z.number().int().default(1),
	control: listenSchema.prefault({}),
	weightStore: addressSchema.optional(),
	engines: z.array(engineSettingsSchema).min(1).readonly(),
}).readonly();

export type EngineSettings = z.infer<typeof engineSettingsSchema>;
export type Settings = z.infer<typeof settingsSchema>;
