/**
 * The configuration document: one schema for the daemon, the console and the command line.
 * Times are in milliseconds, sizes in tokens unless a field says otherwise.
 */
import {z} from 'zod';

const name = z.string().min(1).max(64).regex(/^[\w.\-]+$/v, 'Only letters, digits, dots, hyphens and underscores are allowed');
const milliseconds = z.number().int().positive();
const tokens = z.number().int().positive();
const address = z.object({
	host: z.string().min(1),
	port: z.number().int().min(1).max(65_535),
}).readonly();

/** How an upstream is chosen for a request. The last three are baselines. */
export const policySchema = z.enum(['cost', 'random', 'round-robin', 'least-requests']);

/** What a caller must show before a non-idempotent request runs. */
export const ticketRuleSchema = z.enum(['ticket', 'key']);

const serviceCommon = {
	id: name,
	/** Time a request may take when its caller names none, and the most it may ask for. */
	deadline: z.object({default: milliseconds, most: milliseconds}).readonly(),
	/** Whether a request may be repeated when its caller does not say. */
	idempotent: z.boolean(),
	ticketRule: ticketRuleSchema.default('key'),
	/** Retries as a share of requests, and how many may be saved up. */
	retryBudget: z.object({ratio: z.number().min(0).max(1), burst: z.number().int().nonnegative()}).readonly()
		.default({ratio: 0.1, burst: 10}),
	/** Requests that may wait at one host. */
	queueLimit: z.number().int().positive().default(1000),
	policy: policySchema.default('cost'),
};

export const modelServiceSchema = z.object({
	...serviceCommon,
	kind: z.literal('model'),
	model: name,
	/** Prompts up to `short` tokens are short, from `long` on they are long. */
	lengthClasses: z.object({short: tokens, long: tokens}).readonly().default({short: 4096, long: 100_000}),
	/** What the service's users weigh: slowdown of short requests against time to first token of all lengths. */
	weights: z.object({slowdown: z.number().min(0), firstToken: z.number().min(0)}).readonly()
		.default({slowdown: 1, firstToken: 1}),
	/** Decode length expected before one has been learnt. */
	expectedOutput: tokens.default(256),
	/** Engines of a failure domain that must stay ready while others change. */
	readyEngines: z.number().int().nonnegative().default(1),
}).readonly();

export const plainServiceSchema = z.object({
	...serviceCommon,
	kind: z.literal('plain'),
}).readonly();

export const serviceSchema = z.discriminatedUnion('kind', [modelServiceSchema, plainServiceSchema]);

export const organisationSchema = z.object({
	id: name,
	/** SHA-256 of each API key, in lower-case hexadecimal. */
	keyHashes: z.array(z.string().regex(/^[\da-f]{64}$/v, 'A SHA-256 has 64 hexadecimal digits in lower case')).readonly(),
	/** Lower runs first. */
	priority: z.number().int().min(0).max(9).default(5),
	/** Share among organisations of the same priority. */
	weight: z.number().positive().default(1),
	/** Limits over the whole fleet. */
	limits: z.object({
		requestsPerSecond: z.number().positive().optional(),
		tokensPerSecond: z.number().positive().optional(),
		concurrent: z.number().int().positive().optional(),
	}).readonly().default({}),
}).readonly();

const upstreamCommon = {
	id: name,
	failureDomain: name,
	address,
};

/** What a placement asks an engine to hold. */
export const targetSchema = z.object({
	model: name,
	version: name,
	adapters: z.array(name).readonly().default([]),
	role: z.enum(['mixed', 'prefill', 'decode']).default('mixed'),
}).readonly();

export const engineSchema = z.object({
	...upstreamCommon,
	kind: z.literal('engine'),
	service: name,
	/** Tokens of KV cache that fit into the engine's memory. */
	memory: tokens,
	/** Speeds assumed until learnt. */
	prefillRate: z.number().positive().default(10_000),
	decodeInterval: z.number().positive().default(25),
	/** Requests the engine runs in one batch. */
	batch: z.number().int().positive().default(32),
	/** Whether the engine refuses an order with an old fencing number. */
	fencing: z.boolean(),
	target: targetSchema.optional(),
}).readonly();

export const plainUpstreamSchema = z.object({
	...upstreamCommon,
	kind: z.literal('plain'),
	service: name,
	/** Requests that may run at once. */
	concurrent: z.number().int().positive().default(64),
}).readonly();

/** An endpoint of the scripts that cranberrytide replaces. */
export const legacyUpstreamSchema = z.object({
	...upstreamCommon,
	kind: z.literal('legacy'),
	service: name,
	concurrent: z.number().int().positive().default(64),
}).readonly();

export const upstreamSchema = z.discriminatedUnion('kind', [engineSchema, plainUpstreamSchema, legacyUpstreamSchema]);

export const failureDomainSchema = z.object({
	id: name,
	region: name,
}).readonly();

/** A key that signs tickets and stream positions; the first signs, all verify. */
export const tokenKeySchema = z.object({
	id: name,
	/** 32 bytes or more, in hexadecimal. */
	secret: z.string().regex(/^[\da-f]{64,}$/v, 'A secret has 64 or more hexadecimal digits in lower case'),
}).readonly();

export const plannedStopSchema = z.object({
	id: name,
	/** Host or upstream that stops. */
	target: z.object({kind: z.enum(['host', 'upstream']), id: name}).readonly(),
	/** When it may start, in milliseconds since 1970. */
	notBefore: z.number().int().nonnegative(),
	/** Time given to running requests. */
	grace: milliseconds.default(600_000),
}).readonly();

/** How many members of one service and failure domain may stop at a time. */
export const stopRuleSchema = z.object({
	concurrentHosts: z.number().int().positive().default(1),
	concurrentUpstreams: z.number().int().positive().default(1),
}).readonly();

/** Who serves a service, failure domain and organisation; an absent field stands for all. */
export const takeoverSchema = z.object({
	service: name,
	failureDomain: name.optional(),
	organisation: name.optional(),
	servedBy: z.enum(['cranberrytide', 'legacy']),
}).readonly();

export const weightStoreSchema = z.object({
	address,
	/** Loads a second that the store accepts from everyone together. */
	loadsPerSecond: z.number().positive(),
}).readonly();

/** The key that signs and the one before it. */
const mostTokenKeys = 2;

export const configurationSchema = z.object({
	schema: z.literal(1),
	revision: z.number().int().positive(),
	failureDomains: z.array(failureDomainSchema).min(1).readonly(),
	services: z.array(serviceSchema).readonly(),
	organisations: z.array(organisationSchema).readonly(),
	upstreams: z.array(upstreamSchema).readonly(),
	tokenKeys: z.array(tokenKeySchema).min(1).max(mostTokenKeys).readonly(),
	plannedStops: z.array(plannedStopSchema).readonly().default([]),
	stopRule: stopRuleSchema.default({concurrentHosts: 1, concurrentUpstreams: 1}),
	takeovers: z.array(takeoverSchema).readonly().default([]),
	weightStore: weightStoreSchema.optional(),
}).readonly();

export type Address = z.infer<typeof address>;
export type Policy = z.infer<typeof policySchema>;
export type ModelService = z.infer<typeof modelServiceSchema>;
export type PlainService = z.infer<typeof plainServiceSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Organisation = z.infer<typeof organisationSchema>;
export type Target = z.infer<typeof targetSchema>;
export type Engine = z.infer<typeof engineSchema>;
export type PlainUpstream = z.infer<typeof plainUpstreamSchema>;
export type LegacyUpstream = z.infer<typeof legacyUpstreamSchema>;
export type Upstream = z.infer<typeof upstreamSchema>;
export type FailureDomain = z.infer<typeof failureDomainSchema>;
export type TokenKey = z.infer<typeof tokenKeySchema>;
export type PlannedStop = z.infer<typeof plannedStopSchema>;
export type StopRule = z.infer<typeof stopRuleSchema>;
export type Takeover = z.infer<typeof takeoverSchema>;
export type WeightStore = z.infer<typeof weightStoreSchema>;
export type Configuration = z.infer<typeof configurationSchema>;
