/** Schema of a load scenario: open-loop arrivals from a seed. Times are real milliseconds, lengths are tokens. */
import {z} from 'zod';

const rangeSchema = z.object({
	least: z.number().int().positive(),
	most: z.number().int().positive(),
}).readonly();

const addressSchema = z.object({host: z.string(), port: z.number().int().positive()}).readonly();

/** Prompts of one length class; lengths are log-uniformly distributed. */
const promptClassSchema = z.object({
	name: z.string().min(1),
	weight: z.number().nonnegative(),
	prompt: rangeSchema,
	output: rangeSchema,
	/** Shared prefixes: their number, their length, and the share of prompts that have one. */
	prefixes: z.object({
		count: z.number().int().positive(),
		tokens: z.number().int().positive(),
		share: z.number().min(0).max(1),
	}).readonly().optional(),
}).readonly();

export const scenarioSchema = z.object({
	seed: z.number().int(),
	/** Makes prompt texts differ between runs with the same seed, so that no run finds another's prompts cached. */
	textSeed: z.number().int().default(0),
	/** Entry hosts; each request goes to a random one. */
	entries: z.array(addressSchema).min(1).readonly(),
	/** Id of the model service. */
	service: z.string(),
	/** Requests per second. */
	rate: z.number().positive(),
	duration: z.number().positive(),
	/** Requests that arrive earlier are sent but not counted. */
	warmUp: z.number().nonnegative().default(0),
	timeout: z.number().int().positive(),
	organisations: z.array(z.object({
		id: z.string(),
		key: z.string(),
		weight: z.number().positive().default(1),
	}).readonly()).min(1).readonly(),
	classes: z.array(promptClassSchema).min(1).readonly(),
	/** Share of requests that are not idempotent; they carry an idempotency key. */
	nonIdempotent: z.number().min(0).max(1).default(0),
	/** Tokens that each token of text counts for, so that long prompts have small bodies; 1 sends them in full. */
	tokensPerTextToken: z.number().int().positive().default(16),
	/** Lengths of the stand-in engines' answers; without it, answers are not checked. */
	answer: rangeSchema.optional(),
}).readonly();

export type Scenario = z.infer<typeof scenarioSchema>;
export type ScenarioInput = z.input<typeof scenarioSchema>;
export type PromptClass = Scenario['classes'][number];
