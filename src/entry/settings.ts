/** Settings of the entry daemon: one JSON file, validated. Times are in milliseconds, sizes in bytes. */
import {z} from 'zod';

const port = z.number().int().min(0).max(65_535);
const listener = z.strictObject({host: z.string().min(1).default('127.0.0.1'), port}).readonly();
const target = z.strictObject({host: z.string().min(1), port: port.min(1)}).readonly();

export const settingsSchema = z.strictObject({
	/** Name of this host, unique in the fleet. */
	host: z.string().regex(/^[\w.\-]{1,64}$/v),
	failureDomain: z.string().regex(/^[\w.\-]{1,64}$/v),
	/** Where callers connect. Port 0 takes a free one, told in the `listening` line. */
	caller: listener,
	/** Where other hosts of the system connect. */
	peer: listener,
	/** Where operators' tools connect; loopback unless told otherwise. */
	admin: listener.default({host: '127.0.0.1', port: 0}),
	/** Addresses that others use to reach this host, where they differ from the listeners'. */
	advertised: z.strictObject({caller: target.optional(), peer: target.optional()}).readonly().default({}),
	/** Peer addresses to ask while the platform's host list is out of reach. */
	seeds: z.array(target).readonly().default([]),
	/** The platform's configuration service and host list. */
	platform: target,
	statsd: z.strictObject({host: z.string(), port, prefix: z.string().default('cranberrytide.')}).readonly().optional(),
	/** Largest request body taken. */
	bodyLimit: z.number().int().positive().default(16_000_000),
	/** Time that running requests get after SIGTERM. */
	drainGrace: z.number().int().positive().default(600_000),
	/** Believe the number of prompt tokens that a caller states; for tests and benchmarks. */
	statedPromptTokens: z.boolean().default(false),
	/** Seed of the routing decisions; a random one if absent. */
	seed: z.number().int().optional(),
	/** Time between ticks of the core. */
	tickInterval: z.number().int().min(1).max(1000).default(50),
	/** Time between load reports asked of an engine. */
	reportInterval: z.number().int().min(10).default(500),
	/** Longest wait of one watch at the platform. */
	watchWait: z.number().int().min(100).default(20_000),
	/** Time between readings of the host list. */
	hostsInterval: z.number().int().min(100).default(2000),
	/** A gap between ticks from which on the process counts as paused. */
	pauseThreshold: z.number().int().min(50).default(500),
	/** Decisions kept for operators to look up. */
	decisionsKept: z.number().int().positive().default(5000),
}).readonly();

export type Settings = z.infer<typeof settingsSchema>;
