/** What experiments change and read between runs. */
import {setTimeout as sleep} from 'node:timers/promises';
import got from 'got';
import {z} from 'zod';
import {type Policy} from '../../src/core/index.js';
import {type Fleet} from '../fleet/fleet.js';

const pollInterval = 50;
const statusSchema = z.object({revision: z.number()});

/** Waits until every host has adopted a revision. */
async function adopted(fleet: Fleet, revision: number): Promise<void> {
	await Promise.all(fleet.hosts.alive.map(async ({admin}) => {
		for (;;) {
			const status = statusSchema.parse(await got(`http://${admin?.host}:${admin?.port}/admin/status`).json());
			if (status.revision >= revision) {
				return;
			}

			await sleep(pollInterval);
		}
	}));
}

/**
 * Switches every service to a routing policy by publishing a new revision.
 *
 * @param fleet - Fleet.
 * @param policy - Policy from now on.
 */
export async function switchPolicy(fleet: Fleet, policy: Policy): Promise<void> {
	const revision = await fleet.publish(before => ({
		...before, services: before.services.map(service => ({...service, policy})),
	}));
	await adopted(fleet, revision);
}

/** Prompt tokens begun at all engines, and those found cached. */
export type CacheUse = {readonly prompt: number; readonly cached: number};

/**
 * @param fleet - Fleet.
 * @returns Use of the prefix caches since the start.
 */
export async function cacheUse(fleet: Fleet): Promise<CacheUse> {
	let prompt = 0;
	let cached = 0;
	const counters = await fleet.upstreams.counters();
	for (const {promptTokens, cachedTokens} of counters.values()) {
		prompt += promptTokens;
		cached += cachedTokens;
	}

	return {prompt, cached};
}
