/** Reads the status and cost that hosts of a fleet report, and waits for states. */
import {setTimeout as sleep} from 'node:timers/promises';
import got from 'got';
import {z} from 'zod';
import {type Fleet} from '../fleet/fleet.js';

const pollIntervalMs = 10;

const stateSchema = z.object({
	phase: z.string(),
	revision: z.number(),
	incarnation: z.object({started: z.number()}),
	peers: z.array(z.object({connected: z.boolean()})),
});

const costSchema = z.object({
	core: z.record(z.string(), z.object({events: z.number(), milliseconds: z.number()})),
	peerBytes: z.object({sent: z.number(), received: z.number()}),
	processor: z.object({user: z.number(), system: z.number()}),
	memory: z.object({rss: z.number()}),
});

export type HostState = z.infer<typeof stateSchema>;
export type HostCost = z.infer<typeof costSchema>;

async function readAdminPage(fleet: Fleet, host: string, page: string): Promise<unknown> {
	const {admin} = fleet.hosts.get(host);
	return got(`http://${admin?.host}:${admin?.port}/admin/${page}`, {retry: {limit: 0}, timeout: {request: 2000}}).json();
}

/**
 * @param fleet - Fleet.
 * @param host - Host.
 * @returns Its phase, revision, start and peers; undefined while it does not answer.
 */
export async function fetchHostState(fleet: Fleet, host: string): Promise<HostState | undefined> {
	try {
		return stateSchema.parse(await readAdminPage(fleet, host, 'status'));
	} catch {
		return undefined;
	}
}

/**
 * @param fleet - Fleet.
 * @param host - Host.
 * @returns Its processor time, memory and traffic so far.
 */
export async function fetchHostCost(fleet: Fleet, host: string): Promise<HostCost> {
	return costSchema.parse(await readAdminPage(fleet, host, 'cost'));
}

/**
 * Waits until every given host has a revision in force.
 *
 * @param fleet - Fleet.
 * @param hosts - Hosts.
 * @param revision - Revision.
 * @returns Milliseconds until the last host had it in force.
 */
export async function waitForRevision(fleet: Fleet, hosts: readonly string[], revision: number): Promise<number> {
	const began = performance.now();
	await Promise.all(hosts.map(async host => {
		for (let state = await fetchHostState(fleet, host); state?.revision !== revision; state = await fetchHostState(fleet, host)) {
			await sleep(pollIntervalMs);
		}
	}));
	return performance.now() - began;
}

/**
 * Waits until every given host has links to a number of others.
 *
 * @param fleet - Fleet.
 * @param hosts - Hosts.
 * @param links - Minimum number of links of each host.
 */
export async function waitForLinks(fleet: Fleet, hosts: readonly string[], links: number): Promise<void> {
	await Promise.all(hosts.map(async host => {
		const count = async () => {
			const state = await fetchHostState(fleet, host);
			return state?.peers.filter(peer => peer.connected).length ?? 0;
		};

		while (await count() < links) {
			await sleep(pollIntervalMs);
		}
	}));
}
