/**
 * Schema of the configuration document, shared by the daemon, the console and the command line.
 * Times are in milliseconds and sizes in tokens, unless a field says otherwise.
 */
import {z} from 'zod';

const nameSchema = z.string().min(1).max(64).regex(/^[\w.\-]+$/v, 'Only letters, digits, dots, hyphens and underscores are allowed');
const millisecondsSchema = z.number().int().positive();
const tokensSchema = z.number().int().positive();
const addressSchema = z.object({
	host: z.string().min(1),
	port: z.number().int().min(1).max(65_535),
}).readonly();

/** Policy that chooses an upstream for a request. All but `cost` are baselines for comparison. */
export const policySchema = z.enum(['cost', 'random', 'round-robin', 'least-requests']);

/** Proof required to run a non-idempotent request: a ticket only, or an idempotency key as well. */
export const ticketRuleSchema = z.enum(['ticket', 'key']);

const commonServiceFields = {
	id: nameSchema,
	/** Time limit of a request whose caller sets none, and the longest that a caller may set. */
	deadline: z.object({default: millisecondsSchema, most: millisecondsSchema}).readonly(),
	/** Whether a request may be repeated, unless its caller says otherwise. */
	idempotent: z.boolean(),
	ticketRule: ticketRuleSchema.default('key'),
	/** Retries earned by each request, and the maximum number that can accumulate. */
	retryBudget: z.object({ratio: z.number().min(0).max(1), burst: z.number().int().nonnegative()}).readonly()
		.default({ratio: 0.1, burst: 10}),
	/** Maximum number of requests queued at one host. */
	queueLimit: z.number().int().positive().default(1000),
	policy: policySchema.default('cost'),
};

export const modelServiceSchema = z.object({
	...commonServiceFields,
	kind: z.literal('model'),
	model: nameSchema,
	/** Prompts of at most `short` tokens are short, those of at least `long` tokens are long. */
	lengthClasses: z.object({short: tokensSchema, long: tokensSchema}).readonly().default({short: 4096, long: 100_000}),
	/** Weights of the placement cost: slowdown of short requests, and time to first token of requests of all lengths. */
	weights: z.object({slowdown: z.number().min(0), firstToken: z.number().min(0)}).readonly()
		.default({slowdown: 1, firstToken: 1}),
	/** Decode length assumed until one has been observed. */
	expectedOutput: tokensSchema.default(256),
	/** Minimum number of engines of a failure domain that stay ready while others change their target. */
	readyEngines: z.number().int().nonnegative().default(1),
}).readonly();

export const plainServiceSchema = z.object({
	...commonServiceFields,
	kind: z.literal('plain'),
}).readonly();

export const serviceSchema = z.discriminatedUnion('kind', [modelServiceSchema, plainServiceSchema]);

export const organisationSchema = z.object({
	id: nameSchema,
	/** SHA-256 of each API key, in lower-case hexadecimal. */
	keyHashes: z.array(z.string().regex(/^[\da-f]{64}$/v, 'A SHA-256 has 64 hexadecimal digits in lower case')).readonly(),
	/** Lower values run first. */
	priority: z.number().int().min(0).max(9).default(5),
	/** Relative share among organisations of the same priority. */
	weight: z.number().positive().default(1),
	/** Limits across all hosts. */
	limits: z.object({
		requestsPerSecond: z.number().positive().optional(),
		tokensPerSecond: z.number().positive().optional(),
		concurrent: z.number().int().positive().optional(),
	}).readonly().default({}),
}).readonly();

const commonUpstreamFields = {
	id: nameSchema,
	failureDomain: nameSchema,
	address: addressSchema,
};

/** Model, version and adapters that an engine is to load, and its role. */
export const targetSchema = z.object({
	model: nameSchema,
	version: nameSchema,
	adapters: z.array(nameSchema).readonly().default([]),
	role: z.enum(['mixed', 'prefill', 'decode']).default('mixed'),
}).readonly();

export const engineSchema = z.object({
	...commonUpstreamFields,
	kind: z.literal('engine'),
	service: nameSchema,
	/** Capacity of the KV cache. */
	memory: tokensSchema,
	/** Speeds assumed until observed: prefill tokens per second, and time per decoded token. */
	prefillRate: z.number().positive().default(10_000),
	decodeInterval: z.number().positive().default(25),
	/** Maximum number of requests in one batch. */
	batch: z.number().int().positive().default(32),
	/** Whether the engine refuses orders with an outdated fencing number. */
	fencing: z.boolean(),
	target: targetSchema.optional(),
}).readonly();

export const plainUpstreamSchema = z.object({
	...commonUpstreamFields,
	kind: z.literal('plain'),
	service: nameSchema,
	/** Maximum number of concurrent requests. */
	concurrent: z.number().int().positive().default(64),
}).readonly();

/** Endpoint of the legacy scripts that cranberrytide replaces. */
export const legacyUpstreamSchema = z.object({
	...commonUpstreamFields,
	kind: z.literal('legacy'),
	service: nameSchema,
	concurrent: z.number().int().positive().default(64),
}).readonly();

export const upstreamSchema = z.discriminatedUnion('kind', [engineSchema, plainUpstreamSchema, legacyUpstreamSchema]);

export const failureDomainSchema = z.object({
	id: nameSchema,
	region: nameSchema,
}).readonly();

/** Key for tickets and stream positions. The first key of the document signs; all keys verify. */
export const tokenKeySchema = z.object({
	id: nameSchema,
	/** 32 bytes or more, in hexadecimal. */
	secret: z.string().regex(/^[\da-f]{64,}$/v, 'A secret has 64 or more hexadecimal digits in lower case'),
}).readonly();

export const plannedStopSchema = z.object({
	id: nameSchema,
	/** Host or upstream that stops. */
	target: z.object({kind: z.enum(['host', 'upstream']), id: nameSchema}).readonly(),
	/** Earliest start, in milliseconds since 1970. */
	notBefore: z.number().int().nonnegative(),
	/** Time that running requests have to finish. */
	grace: millisecondsSchema.default(600_000),
}).readonly();

/** Maximum number of hosts of a failure domain, and of upstreams of a service and failure domain, that may stop at a time. */
export const stopRuleSchema = z.object({
	concurrentHosts: z.number().int().positive().default(1),
	concurrentUpstreams: z.number().int().positive().default(1),
}).readonly();

/** System that serves a service, failure domain and organisation. An absent field matches all. */
export const takeoverSchema = z.object({
	service: nameSchema,
	failureDomain: nameSchema.optional(),
	organisation: nameSchema.optional(),
	servedBy: z.enum(['cranberrytide', 'legacy']),
}).readonly();

export const weightStoreSchema = z.object({
	address: addressSchema,
	/** Maximum rate of model loads, over all engines together. */
	loadsPerSecond: z.number().positive(),
}).readonly();

/** The current signing key and its predecessor. */
const maxTokenKeys = 2;

export const configurationSchema = z.object({
	schema: z.literal(1),
	revision: z.number().int().positive(),
	failureDomains: z.array(failureDomainSchema).min(1).readonly(),
	services: z.array(serviceSchema).readonly(),
	organisations: z.array(organisationSchema).readonly(),
	upstreams: z.array(upstreamSchema).readonly(),
	tokenKeys: z.array(tokenKeySchema).min(1).max(maxTokenKeys).readonly(),
	plannedStops: z.array(plannedStopSchema).readonly().default([]),
	stopRule: stopRuleSchema.default({concurrentHosts: 1, concurrentUpstreams: 1}),
	takeovers: z.array(takeoverSchema).readonly().default([]),
	weightStore: weightStoreSchema.optional(),
}).readonly();

export type Address = z.infer<typeof addressSchema>;
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
