/** Switches policies and reads cache counters between runs of an experiment. */
import {setTimeout as sleep} from 'node:timers/promises';
import got from 'got';
import {z} from 'zod';
import {type Policy} from '../../src/core/index.js';
import {type Fleet} from '../fleet/fleet.js';

const pollIntervalMs = 50;
const statusSchema = z.object({revision: z.number()});

/** Waits until every host has adopted a revision. */
async function waitForRevision(fleet: Fleet, revision: number): Promise<void> {
	await Promise.all(fleet.hosts.alive.map(async ({admin}) => {
		for (;;) {
			const status = statusSchema.parse(await got(`http://${admin?.host}:${admin?.port}/admin/status`).json());
			if (status.revision >= revision) {
				return;
			}

			await sleep(pollIntervalMs);
		}
	}));
}

/**
 * Switches every service to a routing policy, by publishing a new revision and waiting until every host has adopted it.
 */
export async function switchPolicy(fleet: Fleet, policy: Policy): Promise<void> {
	const revision = await fleet.publish(before => ({
		...before, services: before.services.map(service => ({...service, policy})),
	}));
	await waitForRevision(fleet, revision);
}

/** Prompt tokens of all engines, and how many of them were found in a prefix cache. */
export type CacheUse = {readonly prompt: number; readonly cached: number};

/** Returns the use of the prefix caches since the fleet started. */
export async function readCacheUse(fleet: Fleet): Promise<CacheUse> {
	let prompt = 0;
	let cached = 0;
	const counters = await fleet.upstreams.fetchCounters();
	for (const {promptTokens, cachedTokens} of counters.values()) {
		prompt += promptTokens;
		cached += cachedTokens;
	}

	return {prompt, cached};
}
