/** Changes of configuration with a platform that alternates fresh and stale, and with restarts in the middle. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Fleet} from '../fleet/fleet.js';
import {inForce, stateOf} from './status.js';

const pollInterval = 20;

export type Reversions = {
	readonly changes: number;
	readonly restarts: number;
	/** Times that a serving host had a lower revision than any incarnation of it had while serving. */
	readonly reversions: number;
	readonly readings: number;
};

/**
 * @param fleet - Fleet with its hosts serving.
 * @param changes - Documents to publish.
 * @param restartEvery - Changes between two restarts of a host.
 * @returns What was seen.
 */
export async function countReversions(fleet: Fleet, changes: number, restartEvery: number): Promise<Reversions> {
	const hosts = fleet.hosts.all.map(host => host.id);
	const highest = new Map<string, number>();
	const stopping = new AbortController();
	let reversions = 0;
	let readings = 0;
	const watch = async (host: string) => {
		while (!stopping.signal.aborted) {
			const state = await stateOf(fleet, host);
			if (state?.phase === 'serving') {
				readings++;
				reversions += state.revision < (highest.get(host) ?? 0) ? 1 : 0;
				highest.set(host, Math.max(highest.get(host) ?? 0, state.revision));
			}

			await sleep(pollInterval);
		}
	};

	const watches = Promise.all(hosts.map(async host => watch(host)));
	let restarts = 0;
	await fleet.platform({type: 'alternate', publications: 3});
	for (let change = 1; change <= changes; change++) {
		const revision = await fleet.publish(before => before);
		const isRestart = change % restartEvery === 0;
		if (isRestart) {
			await fleet.replaceHost(hosts[restarts % hosts.length]!);
			restarts++;
		}

		await (change % 10 === 0 && !isRestart ? inForce(fleet, hosts, revision) : sleep(pollInterval));
	}

	await fleet.platform({type: 'fresh'});
	await inForce(fleet, hosts, fleet.configuration.revision);
	stopping.abort();
	await watches;
	return {
		changes, restarts, reversions, readings,
	};
}
