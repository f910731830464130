/** Replaces hosts one after another while callers stream through the hosts that a lagging load balancer picks. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Fleet} from '../fleet/fleet.js';
import {getApiKey} from '../fleet/shape.js';
import {fetchHostState} from './status.js';

/** Delay until the balancer notices that a host is not ready. */
const balancerLagMs = 1000;
const balancerIntervalMs = 100;

/** Time after which a host that announced leaving must get no more requests. */
const leavingLimitMs = 3000;

export type RollResult = {
	readonly replacements: number;
	readonly streams: number;
	/** Streams that began and did not complete. */
	readonly cut: number;
	/** Requests that did not begin: refused, or no connection. */
	readonly refused: number;
	/** Requests that a host accepted more than three seconds after it announced leaving. */
	readonly late: number;
};

class Balancer {
	readonly #fleet: Fleet;
	readonly #signal: AbortSignal;
	#ready: readonly string[] = [];

	constructor(fleet: Fleet, signal: AbortSignal) {
		this.#fleet = fleet;
		this.#signal = signal;
		this.#ready = fleet.hosts.alive.map(host => host.id);
	}

	get ready(): readonly string[] {
		return this.#ready;
	}

	async watch(): Promise<void> {
		const seen: Array<readonly string[]> = [];
		while (!this.#signal.aborted) {
			const hosts = this.#fleet.hosts.all.map(host => host.id);
			const states = await Promise.all(hosts.map(async host => fetchHostState(this.#fleet, host)));
			seen.push(hosts.filter((_, index) => states[index]?.phase === 'serving'));
			const excess = seen.length - (balancerLagMs / balancerIntervalMs);
			if (excess > 0) {
				seen.splice(0, excess);
			}

			this.#ready = seen[0]!;
			await sleep(balancerIntervalMs);
		}
	}
}

type Counts = {
	streams: number;
	cut: number;
	refused: number;
	late: number;
};

class CallerPool {
	readonly counts: Counts = {
		streams: 0, cut: 0, refused: 0, late: 0,
	};

	readonly #fleet: Fleet;
	readonly #balancer: Balancer;
	readonly #leaving: ReadonlyMap<string, number>;
	readonly #signal: AbortSignal;
	#next = 0;

	constructor(fleet: Fleet, balancer: Balancer, leaving: ReadonlyMap<string, number>, signal: AbortSignal) {
		this.#fleet = fleet;
		this.#balancer = balancer;
		this.#leaving = leaving;
		this.#signal = signal;
	}

	async call(model: string): Promise<void> {
		while (!this.#signal.aborted) {
			const {ready} = this.#balancer;
			const host = ready[this.#next++ % Math.max(ready.length, 1)];
			await (host === undefined ? sleep(balancerIntervalMs) : this.#stream(host, model));
		}
	}

	async #stream(host: string, model: string): Promise<void> {
		const {caller} = this.#fleet.hosts.get(host);
		const leavingSince = this.#leaving.get(host);
		const isLate = leavingSince !== undefined && performance.now() - leavingSince > leavingLimitMs;
		let isBegun = false;
		try {
			const answer = await fetch(`http://${caller.host}:${caller.port}/v1/chat/completions`, {
				method: 'POST',
				headers: {'content-type': 'application/json', authorization: `Bearer ${getApiKey('one')}`},
				body: JSON.stringify({
					model, stream: true, max_tokens: 100, messages: [{role: 'user', content: `line ${this.#next}`}],
				}),
			});
			isBegun = answer.ok;
			const text = await answer.text();
			this.counts.streams += isBegun ? 1 : 0;
			this.counts.cut += isBegun && !text.includes('[DONE]') ? 1 : 0;
			this.counts.refused += isBegun ? 0 : 1;
			this.counts.late += isBegun && isLate ? 1 : 0;
			if (!isBegun) {
				await sleep(balancerIntervalMs);
			}
		} catch {
			this.counts.cut += isBegun ? 1 : 0;
			this.counts.refused += isBegun ? 0 : 1;
			await sleep(balancerIntervalMs);
		}
	}
}

/**
 * @param fleet - Fleet with its hosts serving.
 * @param replacements - Number of hosts to replace.
 * @param callers - Number of concurrent streams.
 * @returns Counts of the callers' requests.
 */
export async function rollHosts(fleet: Fleet, replacements: number, callers: number): Promise<RollResult> {
	const hosts = fleet.hosts.all.map(host => host.id);
	const stopping = new AbortController();
	const leaving = new Map<string, number>();
	const balancer = new Balancer(fleet, stopping.signal);
	const pool = new CallerPool(fleet, balancer, leaving, stopping.signal);
	const model = fleet.configuration.services.find(service => service.kind === 'model')!.id;
	const running = [balancer.watch(), ...Array.from({length: callers}, async () => pool.call(model))];
	for (let index = 0; index < replacements; index++) {
		const host = hosts[index % hosts.length]!;
		leaving.set(host, performance.now());
		await fleet.stopHost(host);
		await fleet.replaceHost(host);
		await fleet.hosts.waitUntilReady([host]);
		leaving.delete(host);
	}

	stopping.abort();
	await Promise.all(running);
	return {replacements, ...pool.counts};
}
