/** Publishes configurations while the platform alternates between fresh and stale reads and hosts restart, and counts reversions. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Fleet} from '../fleet/fleet.js';
import {waitForRevision, fetchHostState} from './status.js';

const pollIntervalMs = 20;

export type ReversionCounts = {
	readonly changes: number;
	readonly restarts: number;
	/** Times that a serving host had a lower revision than one of its incarnations had while serving. */
	readonly reversions: number;
	/** Times that the revision of a serving host was read. */
	readonly readings: number;
};

/**
 * @param fleet - Fleet with its hosts serving.
 * @param changes - Number of documents to publish.
 * @param restartEvery - Number of changes from one restart of a host to the next.
 * @returns The counts.
 */
export async function countReversions(fleet: Fleet, changes: number, restartEvery: number): Promise<ReversionCounts> {
	const hosts = fleet.hosts.all.map(host => host.id);
	const highest = new Map<string, number>();
	const stopping = new AbortController();
	let reversions = 0;
	let readings = 0;
	const watch = async (host: string) => {
		while (!stopping.signal.aborted) {
			const state = await fetchHostState(fleet, host);
			if (state?.phase === 'serving') {
				readings++;
				reversions += state.revision < (highest.get(host) ?? 0) ? 1 : 0;
				highest.set(host, Math.max(highest.get(host) ?? 0, state.revision));
			}

			await sleep(pollIntervalMs);
		}
	};

	const watches = Promise.all(hosts.map(async host => watch(host)));
	let restarts = 0;
	await fleet.controlPlatform({type: 'alternate', publications: 3});
	for (let change = 1; change <= changes; change++) {
		const revision = await fleet.publish(before => before);
		const isRestart = change % restartEvery === 0;
		if (isRestart) {
			await fleet.replaceHost(hosts[restarts % hosts.length]!);
			restarts++;
		}

		await (change % 10 === 0 && !isRestart ? waitForRevision(fleet, hosts, revision) : sleep(pollIntervalMs));
	}

	await fleet.controlPlatform({type: 'fresh'});
	await waitForRevision(fleet, hosts, fleet.configuration.revision);
	stopping.abort();
	await watches;
	return {
		changes, restarts, reversions, readings,
	};
}
