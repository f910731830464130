/** Settings of the gateway: one JSON file, validated. Times are in milliseconds, sizes in bytes. */
import {z} from 'zod';

const place = z.string().regex(/^[^:]+:\d+$/v, 'host:port is wanted').transform(text => {
	const at = text.lastIndexOf(':');
	return {host: text.slice(0, at), port: Number(text.slice(at + 1))};
});
const milliseconds = z.number().positive();

export const settingsSchema = z.object({
	/** Name of this host, unique in the fleet. */
	host: z.string().min(1),
	failureDomain: z.string().min(1),
	/** Where callers connect. */
	caller: place,
	/** Where the balancer asks whether this host takes callers; may be the same as `caller`. */
	ready: place,
	/** Where other hosts connect. */
	peer: place,
	/** Where metrics are read as text; none if absent. */
	metrics: place.optional(),
	/** Processor time of this host: cores, and the share of each that it may use. Hosts with more relay for the others. */
	processor: z.object({cores: z.number().positive(), share: z.number().positive()}).readonly().default({cores: 1, share: 1}),
	/** Peers to begin with. */
	seeds: z.array(place).readonly().default([]),
	/** The platform's store. */
	store: place,
	/** Time from SIGTERM until the process is killed. */
	grace: milliseconds.default(8000),
	/** Time after which an organisation's key must have stopped working once it was taken away; 0 where that is not asked. */
	revocation: z.number().nonnegative().default(5000),
	/** Bounds of the system for a change of configuration and for an upstream that leaves. */
	configurationDelay: milliseconds.default(2000),
	drainDelay: milliseconds.default(2000),
	/** Retries over all hosts: a share of requests and an allowance within a window. */
	retries: z.object({
		ratio: z.number().min(0).default(0.2),
		window: milliseconds.default(10_000),
		allowance: z.number().nonnegative().default(100),
	}).readonly().default({ratio: 0.2, window: 10_000, allowance: 100}),
}).readonly();

export type Settings = z.infer<typeof settingsSchema>;
