/** A compact description of a fleet, from which its processes and its configuration document are made. */
import {z} from 'zod';
import {
	modelServiceSchema, organisationSchema, plainServiceSchema, stopRuleSchema,
} from '../../src/core/index.js';
import {engineSettingsSchema} from '../../stand-ins/engine/settings.js';

const count = z.number().int().nonnegative();

/** Engines of one service; their settings are those of the stand-in, in engine time. */
const engineGroupSchema = z.object({
	service: z.string(),
	perDomain: count,
	settings: engineSettingsSchema.unwrap().omit({id: true, listen: true, target: true}).prefault({}),
	version: z.string().default('1'),
}).readonly();

const plainGroupSchema = z.object({
	service: z.string(),
	perDomain: count,
	/** Real milliseconds that each call takes. */
	duration: z.number().nonnegative().default(2),
}).readonly();

export const shapeSchema = z.object({
	seed: z.number().int().default(1),
	/** How many times faster than real time engines run. */
	timeScale: z.number().positive().default(1),
	/** Whether every link between failure domains and to the platform leads through the fault proxy. */
	isProxied: z.boolean().default(false),
	domains: z.array(z.string()).min(1).readonly(),
	/** Entry hosts of each failure domain, in the order of `domains`; the last number stands for those that follow. */
	hosts: z.array(count).min(1).readonly(),
	engines: z.array(engineGroupSchema).readonly().default([]),
	plains: z.array(plainGroupSchema).readonly().default([]),
	services: z.array(z.discriminatedUnion('kind', [modelServiceSchema, plainServiceSchema])).readonly(),
	/** The API key of each is `key-` and its id. */
	organisations: z.array(organisationSchema.unwrap().omit({keyHashes: true})).readonly(),
	stopRule: stopRuleSchema.optional(),
	/** Loads a second of the weight store; none if absent. */
	loadsPerSecond: z.number().positive().optional(),
	/** Settings of every entry daemon beside its addresses. */
	entry: z.record(z.string(), z.unknown()).readonly().default({}),
	/** Lag of the platform's host list in real milliseconds. */
	hostLag: z.number().nonnegative().default(500),
	/** Whether the log lines of entry hosts are kept. */
	keepsLogs: z.boolean().default(false),
}).readonly();

export type Shape = z.infer<typeof shapeSchema>;
export type ShapeInput = z.input<typeof shapeSchema>;

/**
 * @param shape - Fleet.
 * @returns Every entry host with its failure domain, and the loopback address that it connects from.
 */
export function hostsOf(shape: Shape): ReadonlyArray<{readonly id: string; readonly domain: string; readonly source: string}> {
	return shape.domains.flatMap((domain, place) => {
		const hosts = shape.hosts[Math.min(place, shape.hosts.length - 1)]!;
		return Array.from({length: hosts}, (_, index) => ({
			id: `${domain}-host-${index + 1}`, domain, source: `127.${place + 1}.${index + 1}.1`,
		}));
	});
}

/**
 * @param organisation - Organisation id.
 * @returns Its API key.
 */
export function apiKey(organisation: string): string {
	return `key-${organisation}`;
}
