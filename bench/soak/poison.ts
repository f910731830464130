/** Requests with a part of their prompts that crashes engines, and checks of what became of them and of sound requests. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Random} from '../../src/core/index.js';
import {createPromptHeaders} from '../gateway/caller-requests.js';
import {type Host} from '../gateway/host.js';
import {type Site} from '../gateway/site.js';
import {type UpstreamStandIn} from '../../stand-ins/gateway/upstream.js';
import {type Outage} from './guarantees.js';

/** Begins the ids of these requests. */
const idPrefix = 'poison';

/** Parts that sound requests have as well. */
const sharedParts = 5;

/** Milliseconds between two of these requests. */
const gap = {least: 50, most: 400};

/** Crashes under a part after which it must reach engines no more, and the time until that holds. */
const permittedCrashes = 5;
const settlingMs = 3000;

/** Requests that may reach engines later, of all hosts together. */
const permittedArrivals = 3;

/** Log events from which convictions follow. */
const suspicionEvents: ReadonlySet<string> = new Set(['started', 'peer-linked', 'peer-lost', 'suspected', 'acquitted', 'convicted', 'conviction-ended', 'conviction-tested']);

const callerTimeoutMs = 12_000;

/** A time in which requests with one part came; monotonic milliseconds. */
export type Episode = {
	readonly part: string;
	readonly from: number;
	/** Hosts by request. */
	readonly hosts: ReadonlyMap<string, number>;
};

/**
 * @param index - Number of a request.
 * @returns Parts of a sound prompt; the last one is its own.
 */
export function createSoundParts(index: number, id: string): string {
	return `shared-${index % sharedParts}:40,own-${id}:1000`;
}

export class PoisonSender {
	readonly episodes: Episode[] = [];
	readonly #site: Site;
	readonly #random: Random;

	/**
	 * @param site - Hosts to send to.
	 * @param random - Draws hosts, pauses and places of the part.
	 */
	constructor(site: Site, random: Random) {
		this.#site = site;
		this.#random = random;
	}

	/**
	 * Sends requests with a new part to random hosts, no two alike.
	 *
	 * @param length - Milliseconds.
	 */
	async run(length: number): Promise<void> {
		const part = `bad-${this.episodes.length}`;
		const hosts = new Map<string, number>();
		const from = performance.now();
		this.episodes.push({part, from, hosts});
		for (const engine of this.#site.engines) {
			engine.crashingParts = new Set([...engine.crashingParts, part]);
		}

		const pending: Array<Promise<void>> = [];
		while (performance.now() - from < length) {
			const id = `${idPrefix}-${part}-${hosts.size}`;
			const host = this.#random.integer(0, this.#site.hosts.length - 1);
			hosts.set(id, host);
			const shared = `shared-${this.#random.integer(0, sharedParts - 1)}:40`;
			const parts = this.#random.integer(0, 1) === 0 ? [`${part}:200`, shared] : [shared, `${part}:200`];
			pending.push(this.#send(id, host, [...parts, `own-${id}:800`].join(',')));
			await sleep(this.#random.integer(gap.least, gap.most));
		}

		await Promise.all(pending);
	}

	async #send(id: string, host: number, parts: string): Promise<void> {
		try {
			await this.#site.ask({
				path: '/ask/x', id, headers: {...createPromptHeaders(1000, 4), 'X-Prefix-Hash': parts}, signal: AbortSignal.timeout(callerTimeoutMs),
			}, this.#site.hosts[host]);
		} catch {
			// Hosts are killed and stopped meanwhile; nobody misses these requests.
		}
	}
}

/**
 * @param episodes - Times in which such requests came.
 * @param engines - Engines with their crashes and what arrived there.
 * @param outages - When hosts were killed, stopped or paused.
 * @returns A description of each part that reached engines too often after its fifth crash, sent by hosts that were in touch.
 */
export function findPoisonOverruns(episodes: readonly Episode[], engines: ReadonlyArray<Pick<UpstreamStandIn, 'arrivals' | 'crashes' | 'crashedUnder'>>, outages: readonly Outage[]): readonly string[] {
	return episodes.flatMap(({part, hosts}) => {
		const crashes = engines.flatMap(({crashedUnder}) => crashedUnder.filter(crash => crash.part === part).map(({at}) => at)).toSorted((a, b) => a - b);
		const last = crashes[permittedCrashes - 1];
		if (last === undefined) {
			return [];
		}

		const isInTouch = (host: number, at: number) => !outages.some(outage => outage.host === host && outage.from < at && outage.to > at - settlingMs);
		const late = new Set(engines.flatMap(({arrivals}) => arrivals)
			.filter(({request, at}) => hosts.has(request) && at > last + settlingMs && isInTouch(hosts.get(request)!, at))
			.map(({request}) => request));
		return late.size > permittedArrivals ? [`${late.size} requests with ${part} reached engines later than ${settlingMs} ms after its fifth crash of ${crashes.length}`] : [];
	});
}

/**
 * @param hosts - Hosts with their log lines.
 * @returns A description of each sound request that was refused as one that crashes engines.
 */
export function findFalseConvictions(hosts: ReadonlyArray<Pick<Host, 'lines' | 'name'>>): readonly string[] {
	return hosts.flatMap(({name, lines}) => {
		const refused = lines.filter(line => line.event === 'refused-as-convicted' && !String(line.request).startsWith(idPrefix));
		return refused.length === 0
			? []
			: [
				...refused.map(line => `${name} refused ${String(line.request)} because of ${JSON.stringify(line.causes)}`),
				...lines.filter(line => suspicionEvents.has(String(line.event))).map(line => `${name}: ${JSON.stringify(line)}`),
			];
	});
}
