/** Simulates gateway hosts and model engines in virtual time, using the decision code of `src/core/gateway` itself. */
import {assertNever} from '../../src/core/index.js';
import {Health} from '../../src/core/gateway/health/health.js';
import {Load, type Job} from '../../src/core/gateway/engines/load.js';
import {PaceSampler} from '../../src/core/gateway/engines/pace-sampler.js';
import {Paces, type PaceSample, type Phase} from '../../src/core/gateway/engines/paces.js';
import {ShortPrefills} from '../../src/core/gateway/engines/short-prefills.js';
import {hasToYield, isWorthRerouting} from '../../src/core/gateway/placement/rerouting.js';
import {computeWeight} from '../../src/core/gateway/engines/losses.js';
import {
	place, reevaluate, type Placement, type PlacementOptions,
} from '../../src/core/gateway/placement/placement.js';
import {defaultPolicy, type Policy} from '../../src/core/gateway/placement/policy.js';
import {isHarmful, estimateRetryDelay} from '../../src/core/gateway/placement/refusal.js';
import {type Demand, type EngineModel, type GatewayUpstream} from '../../src/core/gateway/types.js';
import {defaultUrgency} from '../../src/core/gateway/engines/urgency.js';
import {Batch, computeMemory} from '../../stand-ins/gateway/batch.js';
import {Timeline} from '../model/timeline.js';
import {createRandom} from '../model/workload.js';
import {type Arrival} from './workload.js';

/** How engines are chosen for requests. */
export type PlacementStrategy
	/** The decisions of `src/core/gateway`. */
	= | 'product'
	/** The same decisions, with load updates of all hosts known at once. */
		| 'omniscient'
	/** The engine with the fewest requests of the same host; prompts are never shared. */
		| 'least-requests'
	/** A fixed share of the engines serves only long prompts, the others only short ones; fewest requests decide among them. */
		| 'fixed-border';

/** Engines that are slower for a while. Times are in milliseconds. */
export type SlowEngines = {
	/** Number of engines, the first ones of the fleet. */
	readonly count: number;
	/** How many times longer their iterations take. */
	readonly factor: number;
	readonly from: number;
	readonly until: number;
};

export type SimulationOptions = {
	readonly model: EngineModel;
	readonly hosts: number;
	readonly engines: number;
	readonly strategy: PlacementStrategy;
	/** Milliseconds that load updates take between hosts. */
	readonly updateDelay: number;
	/** Policy of the `product` and `omniscient` decisions; by default the product's own. */
	readonly policy?: Policy;
	readonly slowEngines?: SlowEngines;
	/** Whether hosts learn the paces of engines; by default they do. */
	readonly arePacesLearned?: boolean;
};

/** Outcome of a request. Times are in milliseconds since its arrival. */
export type Result = {
	readonly arrival: Arrival;
	readonly firstEvent?: number;
	readonly longestPause: number;
	readonly isDone: boolean;
	readonly isRefused: boolean;
	readonly helpers: number;
	/** Predicted time to the first byte. */
	readonly predicted?: number;
};

/** Network delays between caller and host, and between host and engine. */
const callerDelayMs = 4;
const engineDelayMs = 1;

/** Callers leave a stream after a pause of this length, or of these multiples of the kind's objective and pause target if longer. */
const minStreamTimeoutMs = 2000;
const objectiveTimeoutFactor = 4;
const pauseTimeoutFactor = 8;

/** Retry delay of a caller whose request found no engine. */
const defaultRetryDelayMs = 700;

/** For `fixed-border`: minimum length of a long prompt, and the share of engines for long prompts. */
const longPromptTokens = 20_000;
const longPromptEngineShare = 0.5;

/** An engine and phase of which some host has learned that its pace differs from 1. Times are in milliseconds. */
export type UnevenEngine = {
	readonly engine: number;
	readonly phase: Phase;
	/** When a host learned it first. */
	readonly learnedAt: number;
	/** First event of the engine that any host received while it was slow, if it was. */
	readonly firstEventAt?: number;
};

type RunningRequest = {
	readonly arrival: Arrival;
	readonly job: Job;
	readonly host: number;
	readonly engines: readonly number[];
	readonly demand: Demand;
	readonly place: Placement;
	/** Whether it was rerouted to these engines; a request is rerouted at most once. */
	readonly isRerouted: boolean;
	readonly paceSampler: PaceSampler;
	/** Engines that have not prefilled their part yet. */
	pendingParts: number;
	/** Time of the last event, in milliseconds since the arrival. */
	lastEvent: number;
	firstEvent?: number;
	longestPause: number;
};

export class Simulation {
	readonly #options: SimulationOptions;
	readonly #policy: Policy;
	readonly #timeline = new Timeline();
	readonly #paces: readonly Paces[];
	readonly #shortPrefills: readonly ShortPrefills[];
	readonly #loads: readonly Load[];
	readonly #health = new Health();
	readonly #upstreams: readonly GatewayUpstream[];
	readonly #batches: readonly Batch[];
	readonly #isIterating: boolean[];
	readonly #running = new Map<string, RunningRequest>();
	readonly #results: Result[] = [];
	/** First events of engines while they were slow, by engine. */
	readonly #firstSlowEvents = new Map<number, number>();
	readonly #unevenEngines = new Map<string, UnevenEngine>();
	readonly #random = createRandom(1);

	constructor(options: SimulationOptions) {
		this.#options = options;
		this.#policy = options.policy ?? defaultPolicy;
		this.#paces = Array.from({length: options.strategy === 'omniscient' ? 1 : options.hosts}, () => new Paces());
		this.#shortPrefills = this.#paces.map(() => new ShortPrefills());
		this.#loads = this.#paces.map(paces => new Load((upstream, now) => paces.get(upstream, now)));
		this.#upstreams = Array.from({length: options.engines}, (_, index) => ({
			id: `e${index}`, service: 's', address: {host: '10.0.0.1', port: index + 1}, failureDomain: `d${index % 3}`, slots: options.model.slots, isDraining: false,
		}));
		this.#batches = this.#upstreams.map(() => new Batch(options.model));
		this.#isIterating = this.#upstreams.map(() => false);
	}

	/**
	 * @param arrivals - Requests.
	 * @param end - Virtual time in milliseconds at which the simulation stops; requests still running then count as not done.
	 * @returns The outcome of each request.
	 */
	run(arrivals: readonly Arrival[], end: number): readonly Result[] {
		for (const arrival of arrivals) {
			this.#timeline.schedule(arrival.at + callerDelayMs, () => {
				this.#handleArrival(arrival, false);
			});
		}

		this.#timeline.runUntil(end);
		for (const running of this.#running.values()) {
			this.#recordResult(running, false);
		}

		return this.#results;
	}

	/** Engines that hosts took for slow or fast at some time. */
	get unevenEngines(): readonly UnevenEngine[] {
		return [...this.#unevenEngines.values()];
	}

	#handleArrival(arrival: Arrival, isRetry: boolean): void {
		const {now} = this.#timeline;
		const {kind} = arrival;
		const {stride} = this.#options.model;
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
		const chosen = this.#chooseEngine(demand, arrival);
		if (chosen === undefined || this.#isHarmful(demand, chosen) || !this.#reserve(arrival.id, chosen)) {
			this.#refuse(arrival, chosen, isRetry);
			return;
		}

		this.#send(arrival, demand, chosen, false);
	}

	#isHarmful(demand: Demand, chosen: Placement): boolean {
		const {strategy, model} = this.#options;
		return (strategy === 'product' || strategy === 'omniscient') && isHarmful(chosen, computeWeight(model, demand.prompt!), this.#policy);
	}

	/** Callers of refused requests retry once, after the suggested delay but at most a third of their remaining time. */
	#refuse(arrival: Arrival, chosen: Placement | undefined, isRetry: boolean): void {
		const {now} = this.#timeline;
		if (isRetry) {
			this.#results.push({
				arrival, longestPause: 0, isDone: false, isRefused: true, helpers: 0,
			});
			return;
		}

		const retryDelay = chosen === undefined ? defaultRetryDelayMs : estimateRetryDelay(chosen, this.#options.model, this.#random.integer(0, 100) / 100);
		const remaining = arrival.at + arrival.kind.deadline - now;
		this.#timeline.schedule(now + Math.min(retryDelay, remaining / 3), () => {
			this.#handleArrival(arrival, true);
		});
	}

	#chooseEngine(demand: Demand, arrival: Arrival): Placement | undefined {
		const {strategy, model} = this.#options;
		switch (strategy) {
			case 'product':
			case 'omniscient': {
				return place(demand, this.#upstreams, model, this.#createPlacementOptions(arrival.host));
			}

			case 'least-requests': {
				return this.#placeAtLeastLoaded(this.#upstreams, arrival);
			}

			case 'fixed-border': {
				const longPromptEngineCount = Math.floor(this.#upstreams.length * longPromptEngineShare);
				const isLong = arrival.prompt >= longPromptTokens;
				return this.#placeAtLeastLoaded(isLong ? this.#upstreams.slice(0, longPromptEngineCount) : this.#upstreams.slice(longPromptEngineCount), arrival);
			}

			default: {
				return assertNever(strategy);
			}
		}
	}

	#createPlacementOptions(host: number): PlacementOptions {
		return {
			policy: this.#policy,
			load: this.#getLoad(host),
			health: this.#health,
			host: `h${host}`,
			failureDomain: `d${host % 3}`,
			unreachable: new Set(),
			findObstacle: () => undefined,
			eligibility: {excluded: new Set()},
			now: this.#timeline.now,
		};
	}

	#placeAtLeastLoaded(candidates: readonly GatewayUpstream[], arrival: Arrival): Placement {
		const load = this.#getLoad(arrival.host);
		const upstream = candidates.toSorted((a, b) => load.countRequests(a.id) - load.countRequests(b.id))[0]!;
		return {
			upstream, helpers: [], holdTokens: 0, prefill: {total: 0, perIteration: 0}, firstByte: 0, loss: 0,
		};
	}

	#getLoad(host: number): Load {
		return this.#loads[host % this.#loads.length]!;
	}

	#reserve(id: string, {upstream, helpers, holdTokens}: Placement): boolean {
		if (holdTokens === 0) {
			return true;
		}

		const engines = [upstream, ...helpers].map(each => this.#getEngineIndex(each));
		const granted = engines.filter(engine => this.#batches[engine]!.hold(id, holdTokens));
		if (granted.length === engines.length) {
			return true;
		}

		for (const engine of granted) {
			this.#batches[engine]!.releaseHold(id);
		}

		return false;
	}

	#send(arrival: Arrival, demand: Demand, chosen: Placement, isRerouted: boolean): void {
		const {upstream, helpers, holdTokens, prefill} = chosen;
		const {model} = this.#options;
		const {now} = this.#timeline;
		const job: Job = {
			id: isRerouted ? `${arrival.id}+` : arrival.id,
			host: `h${arrival.host}`,
			upstream: upstream.id,
			helpers: helpers.map(each => each.id),
			prompt: arrival.prompt,
			answer: demand.prompt?.answer ?? 0,
			isHeld: holdTokens > 0,
			read: prefill.total,
			readPerPass: prefill.perIteration,
			pause: demand.pause,
			urgency: chosen.urgency,
			placing: isRerouted ? 'retry' : 'first',
			weight: computeWeight(model, {tokens: arrival.prompt, answer: 0}),
			began: now,
			due: demand.due,
			deadline: demand.deadline,
		};
		const engines = [upstream, ...helpers].map(each => this.#getEngineIndex(each));
		this.#running.set(arrival.id, {
			paceSampler: new PaceSampler({
				load: this.#getLoad(arrival.host), shortPrefills: this.#shortPrefills[arrival.host % this.#paces.length]!, model, prompt: demand.prompt!, placement: chosen, job: job.id, sent: now,
			}),
			arrival, job, host: arrival.host, engines, demand, place: chosen, isRerouted, pendingParts: engines.length, lastEvent: 0, longestPause: 0,
		});
		this.#publishUpdate(arrival.host, (load, at) => {
			load.begin(job, at);
		}, job);
		this.#timeline.schedule(now + engineDelayMs, () => {
			if (this.#running.get(arrival.id)?.job !== job) {
				return;
			}

			for (const [index, engine] of engines.entries()) {
				const isFirst = index === 0;
				this.#batches[engine]!.add({
					id: arrival.id,
					prompt: arrival.prompt,
					engineCount: engines.length,
					events: isFirst ? arrival.events : 0,
					priority: chosen.urgency ?? defaultUrgency,
					memory: isFirst && holdTokens === 0 ? computeMemory(model, arrival.prompt, arrival.events * model.stride) : 0,
				});
				this.#startIteration(engine);
			}
		});
		this.#timeline.schedule(arrival.at + arrival.kind.deadline, () => {
			this.#end(arrival.id, false);
		});
		this.#scheduleStreamTimeout(arrival);
	}

	/** Ends a request if no event arrives within the caller's timeout, which also applies to the first event. */
	#scheduleStreamTimeout({id, kind}: Arrival): void {
		const lastEvent = this.#running.get(id)?.lastEvent;
		const timeout = Math.max(minStreamTimeoutMs, objectiveTimeoutFactor * kind.objective, pauseTimeoutFactor * kind.pause);
		this.#timeline.schedule(this.#timeline.now + timeout, () => {
			if (this.#running.get(id)?.lastEvent === lastEvent) {
				this.#end(id, false);
			}
		});
	}

	/** Applies a load update at the host itself at once and at the other hosts after the delay. */
	#publishUpdate(host: number, update: (load: Load, at: number) => void, startedJob?: Job): void {
		const {now} = this.#timeline;
		const own = this.#getLoad(host);
		update(own, now);
		if (this.#options.strategy !== 'product') {
			return;
		}

		for (const [index, load] of this.#loads.entries()) {
			if (load !== own) {
				this.#timeline.schedule(now + this.#options.updateDelay, () => {
					update(load, this.#timeline.now);
					if (startedJob !== undefined) {
						this.#handlePeerJob(index, startedJob);
					}
				});
			}
		}
	}

	/** Reevaluates requests that have to yield to a peer's job at the same engine. */
	#handlePeerJob(host: number, other: Job): void {
		const {now} = this.#timeline;
		for (const running of this.#running.values()) {
			const canReroute = running.host === host && !running.isRerouted && running.firstEvent === undefined;
			if (canReroute && this.#policy.isYieldingEnabled && hasToYield(running.job, other, now)) {
				this.#reevaluate(running);
			}
		}
	}

	#reevaluate(running: RunningRequest): void {
		const {arrival, demand, job} = running;
		const around = {...this.#createPlacementOptions(running.host), excludedJob: job.id, eligibility: {excluded: new Set([job.upstream])}};
		const reevaluation = reevaluate(demand, running.place, this.#upstreams, this.#options.model, around);
		if (reevaluation?.best === undefined || !isWorthRerouting(reevaluation.staying, reevaluation.best.loss)) {
			return;
		}

		this.#removeFromEngines(running);
		if (this.#reserve(arrival.id, reevaluation.best)) {
			this.#send(arrival, demand, reevaluation.best, true);
		} else {
			this.#recordResult(running, false);
		}
	}

	#startIteration(engine: number): void {
		if (this.#isIterating[engine]) {
			return;
		}

		const time = this.#batches[engine]!.startIteration();
		if (time === undefined) {
			return;
		}

		this.#isIterating[engine] = true;
		this.#timeline.schedule(this.#timeline.now + (time * this.#getSlowness(engine)), () => {
			this.#isIterating[engine] = false;
			this.#finishIteration(engine);
			this.#startIteration(engine);
		});
	}

	#getSlowness(engine: number): number {
		const {count, factor, from, until} = this.#options.slowEngines ?? {
			count: 0, factor: 1, from: 0, until: 0,
		};
		const {now} = this.#timeline;
		return engine < count && now >= from && now < until ? factor : 1;
	}

	/** Records a sample at its host, and what the host reports at the others after the delay. */
	#recordPace(host: number, sample: PaceSample | undefined): void {
		const own = this.#paces[host % this.#paces.length]!;
		if (sample === undefined || this.#options.arePacesLearned === false) {
			return;
		}

		own.recordSample(sample);
		const key = `${sample.upstream} ${sample.phase}`;
		if (own.get(sample.upstream, sample.at)[sample.phase] !== 1 && !this.#unevenEngines.has(key)) {
			const engine = Number(sample.upstream.slice(1));
			this.#unevenEngines.set(key, {
				engine, phase: sample.phase, learnedAt: sample.at, firstEventAt: this.#firstSlowEvents.get(engine),
			});
		}

		const report = own.takeReport(sample.upstream, sample.phase, sample.at);
		for (const paces of report === undefined ? [] : this.#paces) {
			if (paces !== own) {
				this.#timeline.schedule(this.#timeline.now + this.#options.updateDelay, () => {
					paces.recordReport({...report!, host: `h${host}`});
				});
			}
		}
	}

	#finishIteration(engine: number): void {
		for (const {job, isPrefilled, hasEvent, isFinished} of this.#batches[engine]!.finishIteration()) {
			const running = this.#running.get(job.id);
			if (running === undefined) {
				continue;
			}

			if (isPrefilled) {
				this.#handlePartPrefilled(running);
			}

			if (hasEvent) {
				this.#handleEvent(running, isFinished);
			}
		}
	}

	#handlePartPrefilled(running: RunningRequest): void {
		running.pendingParts--;
		const first = running.engines[0]!;
		if (running.pendingParts === 0 && running.engines.length > 1) {
			this.#batches[first]!.allowDecode(running.arrival.id);
			this.#startIteration(first);
		}
	}

	#handleEvent(running: RunningRequest, isFinished: boolean): void {
		const engine = running.engines[0]!;
		if (this.#getSlowness(engine) !== 1 && !this.#firstSlowEvents.has(engine)) {
			this.#firstSlowEvents.set(engine, this.#timeline.now);
		}

		this.#recordPace(running.host, running.paceSampler.noteEvents(this.#timeline.now));
		const at = this.#timeline.now + engineDelayMs + callerDelayMs - running.arrival.at;
		if (running.firstEvent === undefined) {
			running.firstEvent = at;
			this.#timeline.schedule(this.#timeline.now + engineDelayMs, () => {
				this.#publishUpdate(running.host, (load, now) => {
					load.recordFirstByte(running.job.id, now);
				});
			});
		} else {
			running.longestPause = Math.max(running.longestPause, at - running.lastEvent);
		}

		running.lastEvent = at;
		if (isFinished) {
			this.#end(running.arrival.id, true);
		} else {
			this.#scheduleStreamTimeout(running.arrival);
		}
	}

	#end(id: string, isDone: boolean): void {
		const running = this.#running.get(id);
		if (running === undefined) {
			return;
		}

		this.#removeFromEngines(running);
		this.#recordResult(running, isDone);
	}

	#removeFromEngines({arrival, engines, host, job}: RunningRequest): void {
		this.#running.delete(arrival.id);
		for (const engine of engines) {
			this.#batches[engine]!.remove(arrival.id);
			this.#batches[engine]!.releaseHold(arrival.id);
		}

		this.#publishUpdate(host, (load, now) => {
			load.end(job.id, now);
		});
	}

	#recordResult({arrival, firstEvent, longestPause, job, place}: RunningRequest, isDone: boolean): void {
		this.#results.push({
			arrival, firstEvent, longestPause, isDone, isRefused: false, helpers: job.helpers.length, predicted: place.firstByte,
		});
	}

	#getEngineIndex(upstream: GatewayUpstream): number {
		return Number(upstream.id.slice(1));
	}
}
