/** A load scenario: open-loop arrivals from a seed. Times are real milliseconds, lengths are tokens. */
import {z} from 'zod';

const range = z.object({
	least: z.number().int().positive(),
	most: z.number().int().positive(),
}).readonly();

const addressSchema = z.object({host: z.string(), port: z.number().int().positive()}).readonly();

/** Prompts of one length class; lengths are spread evenly over their logarithm. */
const promptClassSchema = z.object({
	name: z.string().min(1),
	weight: z.number().nonnegative(),
	prompt: range,
	output: range,
	/** Prompts that begin alike: how many beginnings there are, how long they are, and the share of prompts with one. */
	prefixes: z.object({
		count: z.number().int().positive(),
		tokens: z.number().int().positive(),
		share: z.number().min(0).max(1),
	}).readonly().optional(),
}).readonly();

export const scenarioSchema = z.object({
	seed: z.number().int(),
	/** Makes the prompts' texts differ between runs that share a seed, so that no run finds another's prompts cached. */
	textSeed: z.number().int().default(0),
	/** Entry hosts; each request goes to one at random. */
	entries: z.array(addressSchema).min(1).readonly(),
	/** Model service. */
	service: z.string(),
	/** Requests a second. */
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
	/** Share of requests that may run only once; they carry an idempotency key. */
	nonIdempotent: z.number().min(0).max(1).default(0),
	/** Tokens that each token of text stands for, so that long prompts need small bodies; 1 sends them in full. */
	tokensPerTextToken: z.number().int().positive().default(16),
	/** Lengths of the stand-in engines' answers; answers are not checked without it. */
	answer: range.optional(),
}).readonly();

export type Scenario = z.infer<typeof scenarioSchema>;
export type ScenarioInput = z.input<typeof scenarioSchema>;
export type PromptClass = Scenario['classes'][number];
