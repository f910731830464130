/** Schema of the entry daemon's JSON settings file. Times are in milliseconds, sizes in bytes. */
import {z} from 'zod';

const port = z.number().int().min(0).max(65_535);
const listener = z.strictObject({host: z.string().min(1).default('127.0.0.1'), port}).readonly();
const address = z.strictObject({host: z.string().min(1), port: port.min(1)}).readonly();

export const settingsSchema = z.strictObject({
	/** Name of this host, unique in the fleet. */
	host: z.string().regex(/^[\w.\-]{1,64}$/v),
	failureDomain: z.string().regex(/^[\w.\-]{1,64}$/v),
	/** Listen address for callers. Port 0 picks a free port, which the `listening` log line contains. */
	caller: listener,
	/** Listen address for other hosts. */
	peer: listener,
	/** Listen address for operators' tools; loopback by default. */
	admin: listener.default({host: '127.0.0.1', port: 0}),
	/** Addresses under which callers and other hosts reach this host, if they differ from the listen addresses. */
	advertised: z.strictObject({caller: address.optional(), peer: address.optional()}).readonly().default({}),
	/** Peer addresses to contact while the platform's host list is unavailable. */
	seeds: z.array(address).readonly().default([]),
	/** Address of the platform, which serves the configuration and the host list. */
	platform: address,
	statsd: z.strictObject({host: z.string(), port, prefix: z.string().default('cranberrytide.')}).readonly().optional(),
	/** Maximum size of a request body. */
	bodyLimit: z.number().int().positive().default(16_000_000),
	/** Time that running requests have to finish after SIGTERM. */
	drainGrace: z.number().int().positive().default(600_000),
	/** Whether to trust the number of prompt tokens that a caller states; for tests and benchmarks. */
	statedPromptTokens: z.boolean().default(false),
	/** Seed of the random source for routing decisions; random if absent. */
	seed: z.number().int().optional(),
	/** Interval between ticks of the core. */
	tickInterval: z.number().int().min(1).max(1000).default(50),
	/** Minimum interval between two load reports requested from the same engine. */
	reportInterval: z.number().int().min(10).default(500),
	/** Maximum wait of one long poll for a new configuration. */
	watchWait: z.number().int().min(100).default(20_000),
	/** Interval between reads of the host list. */
	hostsInterval: z.number().int().min(100).default(2000),
	/** Time without an event after which the process counts as having been paused. */
	pauseThreshold: z.number().int().min(50).default(500),
	/** Number of decisions kept for operators to query. */
	decisionsKept: z.number().int().positive().default(5000),
}).readonly();

export type Settings = z.infer<typeof settingsSchema>;
