/** Schema of the gateway's settings file (JSON). Times are in milliseconds, or in an object that names their unit. */
import {z} from 'zod';

const maxPort = 65_535;

function parsePort(text: string): number {
	return Number(text.slice(text.lastIndexOf(':') + 1));
}

const addressSchema = z.string()
	.refine(text => /^[^:]+:\d+$/v.test(text) && parsePort(text) <= maxPort, {error: ({input}) => `must be host:port, is ${JSON.stringify(input)}`})
	.transform(text => ({host: text.slice(0, text.lastIndexOf(':')), port: parsePort(text)}));
/** Shortest key of a fleet in characters, without spaces at its ends. */
const minKeyLength = 16;
const fleetKeySchema = z.string().trim().min(minKeyLength);
const msPerSecond = 1000;
const duration = z.preprocess(
	value => typeof value === 'object' && value !== null && 'seconds' in value && typeof value.seconds === 'number' ? value.seconds * msPerSecond : value,
	z.number().positive(),
);

/** The platform's limit on the values of its store. */
const usualValueBytes = 1_048_576;

export const settingsSchema = z.object({
	/** Name of this host, unique in the fleet. */
	host: z.string().min(1),
	failureDomain: z.string().min(1),
	/** Address for callers. */
	caller: addressSchema,
	/** Address for the balancer's readiness checks; may be the same as `caller`. */
	ready: addressSchema,
	/** Address for other hosts. */
	peer: addressSchema,
	/** Address that serves metrics as text; not served if absent. */
	metrics: addressSchema.optional(),
	/** Address for the operators' command line, which callers must not reach; not served if absent. */
	admin: addressSchema.optional(),
	/** Address at which this host opens tunnels to upstreams for hosts that don't reach them, on the host of `peer`; a free port if absent. */
	tunnel: z.union([z.literal('none'), addressSchema], {error: ({input}) => `must be "none" or host:port, is ${JSON.stringify(input)}`}).optional(),
	/** Processor capacity of this host: cores, and the share of each that it may use. Hosts with more capacity become relays. */
	processor: z.object({cores: z.number().positive(), share: z.number().positive()}).readonly().default({cores: 1, share: 1}),
	/** Addresses of the first peers to contact. */
	seeds: z.array(addressSchema).readonly().default([]),
	/** Address of the platform's store. */
	store: addressSchema,
	/** Longest value of the store that is read, in bytes; a longer one counts as invalid. */
	storeValueBytes: z.number().positive().default(usualValueBytes),
	/** Time from SIGTERM until the process is killed. */
	grace: duration.default(8000),
	/** Time within which a revoked key of an organisation must stop working; 0 if there is no such requirement. */
	revocation: z.number().nonnegative().default(5000),
	/** Time within which a change of the configuration must take effect, and within which a leaving upstream must no longer be used. */
	configurationDelay: duration.default(2000),
	drainDelay: duration.default(2000),
	/** Time within which an evacuated failure domain must get no more requests. */
	evacuationDelay: duration.default(5000),
	/** Most requests that a cold upstream may get in one second from all hosts together: a multiple of its rate, plus an allowance. */
	coldStarts: z.object({
		overage: z.number().min(1).default(1.5),
		allowance: z.number().nonnegative().default(5),
	}).readonly().default({overage: 1.5, allowance: 5}),
	/** Keys by which hosts recognise those of their fleet; while they are rotated, the old one and the new one. */
	fleet: z.object({
		keys: z.array(fleetKeySchema).min(1).max(2).readonly(),
	}).readonly().optional(),
	/** Memory that this process may use, in megabytes. */
	memory: z.number().positive().optional(),
	/** Bounds on what an upstream sends that is no answer: an attempt that exceeds one ends, and counts against its upstream. */
	responses: z.object({
		/** Bytes of a stream without the end of an event. */
		eventBytes: z.number().int().positive().default(1_000_000),
		/** Interim responses (1xx) before the response. */
		interim: z.number().int().nonnegative().default(16),
		/** Bytes of a body that is no stream. */
		bodyBytes: z.number().int().positive().default(100_000_000),
	}).readonly().prefault({}),
	/** Retry budget of all hosts together: a share of the requests within a window, plus an allowance per window. */
	retries: z.object({
		ratio: z.number().min(0).default(0.2),
		window: duration.default(10_000),
		allowance: z.number().nonnegative().default(100),
	}).readonly().default({ratio: 0.2, window: 10_000, allowance: 100}),
}).refine(({peer, tunnel}) => tunnel === undefined || tunnel === 'none' || tunnel.host === peer.host, {
	path: ['tunnel'], error: 'must be on the host of peer: others ignore offers of tunnels at another address',
}).readonly();

export type Settings = z.infer<typeof settingsSchema>;
