/** Compact description of a fleet, from which its processes and its configuration document are derived. */
import {z} from 'zod';
import {
	modelServiceSchema, organisationSchema, plainServiceSchema, stopRuleSchema,
} from '../../src/core/index.js';
import {engineSettingsSchema} from '../../stand-ins/engine/settings.js';

const count = z.number().int().nonnegative();

/** Engines of one service, with the settings of the engine stand-in in engine time. */
const engineGroupSchema = z.object({
	service: z.string(),
	perDomain: count,
	settings: engineSettingsSchema.unwrap().omit({id: true, listen: true, target: true}).prefault({}),
	version: z.string().default('1'),
}).readonly();

const plainServiceGroupSchema = z.object({
	service: z.string(),
	perDomain: count,
	/** Duration of each call in real milliseconds. */
	duration: z.number().nonnegative().default(2),
}).readonly();

export const fleetShapeSchema = z.object({
	seed: z.number().int().default(1),
	/** Engine time per real time: engines run this many times as fast as real ones. */
	timeScale: z.number().positive().default(1),
	/** Whether every connection between failure domains and to the platform goes through the fault proxy. */
	isProxied: z.boolean().default(false),
	domains: z.array(z.string()).min(1).readonly(),
	/** Number of entry hosts in each failure domain, in the order of `domains`; the last one also applies to the remaining domains. */
	hosts: z.array(count).min(1).readonly(),
	engines: z.array(engineGroupSchema).readonly().default([]),
	plains: z.array(plainServiceGroupSchema).readonly().default([]),
	services: z.array(z.discriminatedUnion('kind', [modelServiceSchema, plainServiceSchema])).readonly(),
	/** The API key of an organisation is `key-` followed by its id. */
	organisations: z.array(organisationSchema.unwrap().omit({keyHashes: true})).readonly(),
	stopRule: stopRuleSchema.optional(),
	/** Loads per second that the weight store allows; the fleet has no weight store if absent. */
	loadsPerSecond: z.number().positive().optional(),
	/** Settings of every entry daemon in addition to its addresses. */
	entry: z.record(z.string(), z.unknown()).readonly().default({}),
	/** Lag of the platform's host list in real milliseconds. */
	hostLag: z.number().nonnegative().default(500),
	/** Whether the log lines of entry hosts are kept. */
	keepsLogs: z.boolean().default(false),
}).readonly();

export type FleetShape = z.infer<typeof fleetShapeSchema>;
export type FleetShapeInput = z.input<typeof fleetShapeSchema>;

/** Returns every entry host with its failure domain and the loopback address that it connects from. */
export function listHosts(shape: FleetShape): ReadonlyArray<{readonly id: string; readonly domain: string; readonly source: string}> {
	return shape.domains.flatMap((domain, domainIndex) => {
		const hostCount = shape.hosts[Math.min(domainIndex, shape.hosts.length - 1)]!;
		return Array.from({length: hostCount}, (_, index) => ({
			id: `${domain}-host-${index + 1}`, domain, source: `127.${domainIndex + 1}.${index + 1}.1`,
		}));
	});
}

/** Returns the API key of an organisation, given its id. */
export function getApiKey(organisation: string): string {
	return `key-${organisation}`;
}
