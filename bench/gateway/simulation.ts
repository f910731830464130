/** Gateways before model engines in virtual time: only the product's own decisions place requests. */
import {assertNever} from '../../src/core/index.js';
import {Health} from '../../src/core/gateway/health.js';
import {Load, type Job} from '../../src/core/gateway/load.js';
import {place, weigh, type Place} from '../../src/core/gateway/placement.js';
import {type Demand, type EngineModel, type GatewayUpstream} from '../../src/core/gateway/types.js';
import {Batch, memoryOf} from '../../stand-ins/gateway/batch.js';
import {Timeline} from '../model/timeline.js';
import {type Arrival} from './workload.js';

/** Who chooses an engine. */
export type Policy
	= | 'product'
	/** The product's decisions with news of all hosts at once. */
		| 'omniscient'
	/** Fewest requests of one's own, one engine each. */
		| 'least-requests'
	/** A fixed part of the engines for prompts over a fixed length. */
		| 'fixed-border';

export type Site = {
	readonly model: EngineModel;
	readonly hosts: number;
	readonly engines: number;
	readonly policy: Policy;
	/** Milliseconds that news take from one host to another. */
	readonly newsDelay: number;
};

/** What became of a request. Times in milliseconds from its arrival. */
export type Result = {
	readonly arrival: Arrival;
	readonly firstEvent?: number;
	readonly longestPause: number;
	readonly isDone: boolean;
	readonly isRefused: boolean;
	readonly helpers: number;
	readonly predicted?: number;
};

/** Milliseconds from caller to host, and from host to engine. */
const callerDelay = 4;
const engineDelay = 1;

/** Prompts from this length on are long for the fixed border, and the share of engines they have. */
const borderTokens = 20_000;
const borderShare = 0.5;

type Running = {
	readonly arrival: Arrival;
	readonly job: Job;
	readonly host: number;
	readonly engines: readonly number[];
	partsLeft: number;
	last: number;
	firstEvent?: number;
	longestPause: number;
};

export class Simulation {
	readonly #site: Site;
	readonly #timeline = new Timeline();
	readonly #loads: readonly Load[];
	readonly #health = new Health();
	readonly #upstreams: readonly GatewayUpstream[];
	readonly #batches: readonly Batch[];
	readonly #busy: boolean[];
	readonly #running = new Map<string, Running>();
	readonly #results: Result[] = [];

	/**
	 * @param site - Engines, hosts and policy.
	 */
	constructor(site: Site) {
		this.#site = site;
		this.#loads = Array.from({length: site.policy === 'omniscient' ? 1 : site.hosts}, () => new Load());
		this.#upstreams = Array.from({length: site.engines}, (_, index) => ({
			id: `e${index}`, service: 's', address: {host: '10.0.0.1', port: index + 1}, failureDomain: `d${index % 3}`, slots: site.model.slots, isDraining: false,
		}));
		this.#batches = this.#upstreams.map(() => new Batch(site.model));
		this.#busy = this.#upstreams.map(() => false);
	}

	/**
	 * @param arrivals - Requests.
	 * @param end - Milliseconds to stop at.
	 * @returns What became of each.
	 */
	run(arrivals: readonly Arrival[], end: number): readonly Result[] {
		for (const arrival of arrivals) {
			this.#timeline.add(arrival.at + callerDelay, () => {
				this.#arrive(arrival);
			});
		}

		this.#timeline.runUntil(end);
		for (const running of this.#running.values()) {
			this.#record(running, false);
		}

		return this.#results;
	}

	#arrive(arrival: Arrival): void {
		const {now} = this.#timeline;
		const {kind} = arrival;
		const demand: Demand = {
			id: arrival.id,
			service: 's',
			kind: 'streaming',
			priority: 1,
			arrived: now,
			due: arrival.at + kind.objective,
			deadline: arrival.at + kind.deadline,
			pause: kind.pause,
			prompt: {tokens: arrival.prompt, answer: arrival.events * this.#site.model.stride},
		};
		const chosen = this.#choose(demand, arrival);
		if (chosen === undefined || !this.#reserve(arrival.id, chosen)) {
			this.#results.push({
				arrival, longestPause: 0, isDone: false, isRefused: true, helpers: 0,
			});
			return;
		}

		this.#send(arrival, demand, chosen);
	}

	#choose(demand: Demand, arrival: Arrival): Place | undefined {
		const {policy, model} = this.#site;
		switch (policy) {
			case 'product':
			case 'omniscient': {
				return place(demand, this.#upstreams, model, {
					load: this.#loadOf(arrival.host),
					health: this.#health,
					host: `h${arrival.host}`,
					failureDomain: `d${arrival.host % 3}`,
					unreachable: new Set(),
					tried: new Set(),
					now: this.#timeline.now,
				});
			}

			case 'least-requests': {
				return this.#fewest(this.#upstreams, arrival);
			}

			case 'fixed-border': {
				const border = Math.floor(this.#upstreams.length * borderShare);
				const isLong = arrival.prompt >= borderTokens;
				return this.#fewest(isLong ? this.#upstreams.slice(0, border) : this.#upstreams.slice(border), arrival);
			}

			default: {
				return assertNever(policy);
			}
		}
	}

	#fewest(among: readonly GatewayUpstream[], arrival: Arrival): Place {
		const load = this.#loadOf(arrival.host);
		const upstream = among.toSorted((a, b) => load.requests(a.id) - load.requests(b.id))[0]!;
		return {
			upstream, helpers: [], holdTokens: 0, reading: {total: 0, perPass: 0}, firstByte: 0, loss: 0,
		};
	}

	#loadOf(host: number): Load {
		return this.#loads[host % this.#loads.length]!;
	}

	#reserve(id: string, {upstream, helpers, holdTokens}: Place): boolean {
		if (holdTokens === 0) {
			return true;
		}

		const engines = [upstream, ...helpers].map(each => this.#indexOf(each));
		const granted = engines.filter(engine => this.#batches[engine]!.hold(id, holdTokens));
		if (granted.length === engines.length) {
			return true;
		}

		for (const engine of granted) {
			this.#batches[engine]!.unhold(id);
		}

		return false;
	}

	#send(arrival: Arrival, demand: Demand, {upstream, helpers, holdTokens, reading}: Place): void {
		const {model} = this.#site;
		const {now} = this.#timeline;
		const job: Job = {
			id: arrival.id,
			host: `h${arrival.host}`,
			upstream: upstream.id,
			helpers: helpers.map(each => each.id),
			prompt: arrival.prompt,
			answer: demand.prompt?.answer ?? 0,
			isHeld: holdTokens > 0,
			read: reading.total,
			readPerPass: reading.perPass,
			pause: demand.pause,
			weight: weigh(model, {tokens: arrival.prompt, answer: 0}),
			began: now,
			due: demand.due,
			deadline: demand.deadline,
		};
		const engines = [upstream, ...helpers].map(each => this.#indexOf(each));
		this.#running.set(arrival.id, {
			arrival, job, host: arrival.host, engines, partsLeft: engines.length, last: 0, longestPause: 0,
		});
		this.#tell(arrival.host, (load, at) => {
			load.begin(job, at);
		});
		this.#timeline.add(now + engineDelay, () => {
			for (const [index, engine] of engines.entries()) {
				const isFirst = index === 0;
				this.#batches[engine]!.add({
					id: arrival.id,
					prompt: arrival.prompt,
					parts: engines.length,
					events: isFirst ? arrival.events : 0,
					priority: arrival.prompt < borderTokens ? 2 : 5,
					memory: isFirst && holdTokens === 0 ? memoryOf(model, arrival.prompt, job.answer) : 0,
				});
				this.#turn(engine);
			}
		});
		this.#timeline.add(arrival.at + arrival.kind.deadline, () => {
			this.#end(arrival.id, false);
		});
	}

	/** This host knows at once, the others a little later. */
	#tell(host: number, news: (load: Load, at: number) => void): void {
		const {now} = this.#timeline;
		const own = this.#loadOf(host);
		news(own, now);
		if (this.#site.policy !== 'product') {
			return;
		}

		for (const load of this.#loads) {
			if (load !== own) {
				this.#timeline.add(now + this.#site.newsDelay, () => {
					news(load, this.#timeline.now);
				});
			}
		}
	}

	#turn(engine: number): void {
		if (this.#busy[engine]) {
			return;
		}

		const time = this.#batches[engine]!.begin();
		if (time === undefined) {
			return;
		}

		this.#busy[engine] = true;
		this.#timeline.add(this.#timeline.now + time, () => {
			this.#busy[engine] = false;
			this.#advance(engine);
			this.#turn(engine);
		});
	}

	#advance(engine: number): void {
		for (const {job, isRead, hasEvent, isOver} of this.#batches[engine]!.finish()) {
			const running = this.#running.get(job.id);
			if (running === undefined) {
				continue;
			}

			if (isRead) {
				this.#partRead(running);
			}

			if (hasEvent) {
				this.#event(running, isOver);
			}
		}
	}

	#partRead(running: Running): void {
		running.partsLeft--;
		const first = running.engines[0]!;
		if (running.partsLeft === 0 && running.engines.length > 1) {
			this.#batches[first]!.release(running.arrival.id);
			this.#turn(first);
		}
	}

	#event(running: Running, isOver: boolean): void {
		const at = this.#timeline.now + engineDelay + callerDelay - running.arrival.at;
		const {id} = running.arrival;
		if (running.firstEvent === undefined) {
			running.firstEvent = at;
			this.#timeline.add(this.#timeline.now + engineDelay, () => {
				this.#tell(running.host, (load, now) => {
					load.progress(id, now);
				});
			});
		} else {
			running.longestPause = Math.max(running.longestPause, at - running.last);
		}

		running.last = at;
		if (isOver) {
			this.#end(id, true);
		}
	}

	#end(id: string, isDone: boolean): void {
		const running = this.#running.get(id);
		if (running === undefined) {
			return;
		}

		this.#running.delete(id);
		for (const engine of running.engines) {
			this.#batches[engine]!.remove(id);
			this.#batches[engine]!.unhold(id);
		}

		this.#tell(running.host, (load, now) => {
			load.end(id, now);
		});
		this.#record(running, isDone);
	}

	#record({arrival, firstEvent, longestPause, job}: Running, isDone: boolean): void {
		this.#results.push({
			arrival, firstEvent, longestPause, isDone, isRefused: false, helpers: job.helpers.length,
		});
	}

	#indexOf(upstream: GatewayUpstream): number {
		return Number(upstream.id.slice(1));
	}
}
