/** Gateways before model engines in virtual time: only the product's own decisions place requests. */
import {assertNever} from '../../src/core/index.js';
import {Health} from '../../src/core/gateway/health.js';
import {Load, type Job} from '../../src/core/gateway/load.js';
import {isToYield, isWorthMoving} from '../../src/core/gateway/moves.js';
import {weigh} from '../../src/core/gateway/losses.js';
import {
	place, reconsider, type Place, type Surroundings,
} from '../../src/core/gateway/placement.js';
import {usualPolicy, type Policy} from '../../src/core/gateway/policy.js';
import {isHarmful, returnTime} from '../../src/core/gateway/refusal.js';
import {type Demand, type EngineModel, type GatewayUpstream} from '../../src/core/gateway/types.js';
import {usualUrgency} from '../../src/core/gateway/urgency.js';
import {Batch, memoryOf} from '../../stand-ins/gateway/batch.js';
import {Timeline} from '../model/timeline.js';
import {seeded} from '../model/workload.js';
import {type Arrival} from './workload.js';

/** Who chooses an engine. */
export type Chooser
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
	readonly chooser: Chooser;
	/** Milliseconds that news take from one host to another. */
	readonly newsDelay: number;
	/** What the product's decisions follow; the usual if absent. */
	readonly policy?: Policy;
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

/** Silence after which callers leave a stream: milliseconds, and multiples of its objective and of its longest pause. */
const leastPatience = 2000;
const objectivePatience = 4;
const pausePatience = 8;

/** Milliseconds after which a caller comes back that found no engine. */
const usualReturn = 700;

/** Prompts from this length on are long for the fixed border, and the share of engines they have. */
const borderTokens = 20_000;
const borderShare = 0.5;

type Running = {
	readonly arrival: Arrival;
	readonly job: Job;
	readonly host: number;
	readonly engines: readonly number[];
	readonly demand: Demand;
	readonly place: Place;
	/** Whether it was moved here: a request moves once. */
	readonly isMoved: boolean;
	partsLeft: number;
	last: number;
	firstEvent?: number;
	longestPause: number;
};

export class Simulation {
	readonly #site: Site;
	readonly #policy: Policy;
	readonly #timeline = new Timeline();
	readonly #loads: readonly Load[];
	readonly #health = new Health();
	readonly #upstreams: readonly GatewayUpstream[];
	readonly #batches: readonly Batch[];
	readonly #busy: boolean[];
	readonly #running = new Map<string, Running>();
	readonly #results: Result[] = [];
	readonly #random = seeded(1);

	/**
	 * @param site - Engines, hosts and who chooses.
	 */
	constructor(site: Site) {
		this.#site = site;
		this.#policy = site.policy ?? usualPolicy;
		this.#loads = Array.from({length: site.chooser === 'omniscient' ? 1 : site.hosts}, () => new Load());
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
				this.#arrive(arrival, false);
			});
		}

		this.#timeline.runUntil(end);
		for (const running of this.#running.values()) {
			this.#record(running, false);
		}

		return this.#results;
	}

	#arrive(arrival: Arrival, isBack: boolean): void {
		const {now} = this.#timeline;
		const {kind} = arrival;
		const {stride} = this.#site.model;
		const demand: Demand = {
			id: arrival.id,
			service: 's',
			kind: 'streaming',
			priority: 1,
			arrived: now,
			due: arrival.at + kind.objective,
			deadline: arrival.at + kind.deadline,
			pause: kind.pause,
			prompt: {tokens: arrival.prompt, answer: kind.events.most * stride},
		};
		const chosen = this.#choose(demand, arrival);
		if (chosen === undefined || this.#isHarmful(demand, chosen) || !this.#reserve(arrival.id, chosen)) {
			this.#refuse(arrival, chosen, isBack);
			return;
		}

		this.#send(arrival, demand, chosen, false);
	}

	#isHarmful(demand: Demand, chosen: Place): boolean {
		const {chooser, model} = this.#site;
		return (chooser === 'product' || chooser === 'omniscient') && isHarmful(chosen, weigh(model, demand.prompt!), this.#policy);
	}

	/** Callers come back once, after the time that they are told, a third of their time at most. */
	#refuse(arrival: Arrival, chosen: Place | undefined, isBack: boolean): void {
		const {now} = this.#timeline;
		if (isBack) {
			this.#results.push({
				arrival, longestPause: 0, isDone: false, isRefused: true, helpers: 0,
			});
			return;
		}

		const told = chosen === undefined ? usualReturn : returnTime(chosen, this.#site.model, this.#random.integer(0, 100) / 100);
		const left = arrival.at + arrival.kind.deadline - now;
		this.#timeline.add(now + Math.min(told, left / 3), () => {
			this.#arrive(arrival, true);
		});
	}

	#choose(demand: Demand, arrival: Arrival): Place | undefined {
		const {chooser, model} = this.#site;
		switch (chooser) {
			case 'product':
			case 'omniscient': {
				return place(demand, this.#upstreams, model, this.#around(arrival.host));
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
				return assertNever(chooser);
			}
		}
	}

	#around(host: number): Surroundings {
		return {
			policy: this.#policy,
			load: this.#loadOf(host),
			health: this.#health,
			host: `h${host}`,
			failureDomain: `d${host % 3}`,
			unreachable: new Set(),
			eligibility: {tried: new Set()},
			now: this.#timeline.now,
		};
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

	#send(arrival: Arrival, demand: Demand, chosen: Place, isMoved: boolean): void {
		const {upstream, helpers, holdTokens, reading} = chosen;
		const {model} = this.#site;
		const {now} = this.#timeline;
		const job: Job = {
			id: isMoved ? `${arrival.id}+` : arrival.id,
			host: `h${arrival.host}`,
			upstream: upstream.id,
			helpers: helpers.map(each => each.id),
			prompt: arrival.prompt,
			answer: demand.prompt?.answer ?? 0,
			isHeld: holdTokens > 0,
			read: reading.total,
			readPerPass: reading.perPass,
			pause: demand.pause,
			urgency: chosen.urgency,
			placing: isMoved ? 'retry' : 'first',
			weight: weigh(model, {tokens: arrival.prompt, answer: 0}),
			began: now,
			due: demand.due,
			deadline: demand.deadline,
		};
		const engines = [upstream, ...helpers].map(each => this.#indexOf(each));
		this.#running.set(arrival.id, {
			arrival, job, host: arrival.host, engines, demand, place: chosen, isMoved, partsLeft: engines.length, last: 0, longestPause: 0,
		});
		this.#tell(arrival.host, (load, at) => {
			load.begin(job, at);
		}, job);
		this.#timeline.add(now + engineDelay, () => {
			if (this.#running.get(arrival.id)?.job !== job) {
				return;
			}

			for (const [index, engine] of engines.entries()) {
				const isFirst = index === 0;
				this.#batches[engine]!.add({
					id: arrival.id,
					prompt: arrival.prompt,
					parts: engines.length,
					events: isFirst ? arrival.events : 0,
					priority: chosen.urgency ?? usualUrgency,
					memory: isFirst && holdTokens === 0 ? memoryOf(model, arrival.prompt, arrival.events * model.stride) : 0,
				});
				this.#turn(engine);
			}
		});
		this.#timeline.add(arrival.at + arrival.kind.deadline, () => {
			this.#end(arrival.id, false);
		});
		this.#awaitNext(arrival);
	}

	/** Callers leave a stream that is silent for too long, also before its first event. */
	#awaitNext({id, kind}: Arrival): void {
		const heard = this.#running.get(id)?.last;
		const patience = Math.max(leastPatience, objectivePatience * kind.objective, pausePatience * kind.pause);
		this.#timeline.add(this.#timeline.now + patience, () => {
			if (this.#running.get(id)?.last === heard) {
				this.#end(id, false);
			}
		});
	}

	/** This host knows at once, the others a little later. */
	#tell(host: number, news: (load: Load, at: number) => void, begun?: Job): void {
		const {now} = this.#timeline;
		const own = this.#loadOf(host);
		news(own, now);
		if (this.#site.chooser !== 'product') {
			return;
		}

		for (const [index, load] of this.#loads.entries()) {
			if (load !== own) {
				this.#timeline.add(now + this.#site.newsDelay, () => {
					news(load, this.#timeline.now);
					if (begun !== undefined) {
						this.#heard(index, begun);
					}
				});
			}
		}
	}

	/** Requests that met this one at an engine look for another place. */
	#heard(host: number, other: Job): void {
		const {now} = this.#timeline;
		for (const running of this.#running.values()) {
			const isMovable = running.host === host && !running.isMoved && running.firstEvent === undefined;
			if (isMovable && this.#policy.yields && isToYield(running.job, other, now)) {
				this.#reconsider(running);
			}
		}
	}

	#reconsider(running: Running): void {
		const {arrival, demand, job} = running;
		const around = {...this.#around(running.host), except: job.id, eligibility: {tried: new Set([job.upstream])}};
		const second = reconsider(demand, running.place, this.#upstreams, this.#site.model, around);
		if (second?.best === undefined || !isWorthMoving(second.staying, second.best.loss)) {
			return;
		}

		this.#leave(running);
		if (this.#reserve(arrival.id, second.best)) {
			this.#send(arrival, demand, second.best, true);
		} else {
			this.#record(running, false);
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
		if (running.firstEvent === undefined) {
			running.firstEvent = at;
			this.#timeline.add(this.#timeline.now + engineDelay, () => {
				this.#tell(running.host, (load, now) => {
					load.progress(running.job.id, now);
				});
			});
		} else {
			running.longestPause = Math.max(running.longestPause, at - running.last);
		}

		running.last = at;
		if (isOver) {
			this.#end(running.arrival.id, true);
		} else {
			this.#awaitNext(running.arrival);
		}
	}

	#end(id: string, isDone: boolean): void {
		const running = this.#running.get(id);
		if (running === undefined) {
			return;
		}

		this.#leave(running);
		this.#record(running, isDone);
	}

	#leave({arrival, engines, host, job}: Running): void {
		this.#running.delete(arrival.id);
		for (const engine of engines) {
			this.#batches[engine]!.remove(arrival.id);
			this.#batches[engine]!.unhold(arrival.id);
		}

		this.#tell(host, (load, now) => {
			load.end(job.id, now);
		});
	}

	#record({arrival, firstEvent, longestPause, job, place}: Running, isDone: boolean): void {
		this.#results.push({
			arrival, firstEvent, longestPause, isDone, isRefused: false, helpers: job.helpers.length, predicted: place.firstByte,
		});
	}

	#indexOf(upstream: GatewayUpstream): number {
		return Number(upstream.id.slice(1));
	}
}
