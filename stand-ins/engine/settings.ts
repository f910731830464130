/** Settings of the model engine stand-in. Times are in milliseconds of engine time, which runs `timeScale` times as fast. */
import {z} from 'zod';
import {targetSchema} from '../../src/core/index.js';
import {addressSchema, listenSchema, millisecondsSchema} from '../common/settings.js';

export const engineSettingsSchema = z.object({
	id: z.string().min(1),
	listen: listenSchema.prefault({}),
	/** Tokens of KV cache that fit. */
	memory: z.number().int().positive().default(400_000),
	/** Prompt tokens a second, shared by the whole batch. */
	prefillRate: z.number().positive().default(10_000),
	/** Time between tokens of a batch of one. */
	decodeInterval: millisecondsSchema.default(25),
	/** Share by which each further request in the batch lengthens the decode interval. */
	batchSlowdown: z.number().nonnegative().default(0.02),
	/** Requests in one batch. */
	batch: z.number().int().positive().default(32),
	/** Prompt tokens worked on in one iteration; all running requests wait for them. */
	chunk: z.number().int().positive().default(1024),
	/** Whether orders with an old fencing number are refused. */
	fencing: z.boolean().default(true),
	/** What it holds when it starts; without one it refuses requests until it is ordered to load. */
	target: targetSchema.optional(),
	/** Whether a request for a model or adapter that is not loaded is refused. */
	checkModel: z.boolean().default(false),
	/** Lengths of answers, within which the prompt's digest chooses; a request's own limit cuts them. */
	answer: z.object({
		least: z.number().int().positive().default(16),
		most: z.number().int().positive().default(256),
	}).readonly().prefault({}),
	/** Age of the load figures that are reported. */
	reportLag: millisecondsSchema.default(500),
	/** How late cache events are published, and which share of them is lost. */
	cacheEvents: z.object({
		delay: millisecondsSchema.default(1000),
		loss: z.number().min(0).max(1).default(0.01),
	}).readonly().prefault({}),
	/** Time to load a model or version, and an adapter, once the weights are there. */
	loadTime: millisecondsSchema.default(20_000),
	adapterTime: millisecondsSchema.default(2000),
	/** Tokens of KV cache exported or imported in a second. */
	transferRate: z.number().positive().default(1_000_000),
	/** How long the answer of a finished attempt can be resumed. */
	retention: millisecondsSchema.default(60_000),
}).readonly();

export const settingsSchema = z.object({
	/** How many times faster than real time the engines run. */
	timeScale: z.number().positive().default(1),
	seed: z.number().int().default(1),
	control: listenSchema.prefault({}),
	weightStore: addressSchema.optional(),
	engines: z.array(engineSettingsSchema).min(1).readonly(),
}).readonly();

export type EngineSettings = z.infer<typeof engineSettingsSchema>;
export type Settings = z.infer<typeof settingsSchema>;
