/** Simulates gateway hosts and model engines in virtual time, using the decision code of `src/core/gateway` itself. */
import {assertNever} from '../../src/core/index.js';
import {
	computePatience, firstEventMarginMs, maxEventGapMs, notificationIntervalMs, predictionFactor, preparationMs,
} from '../../src/core/gateway/health/stall-times.js';
import {RetryBudget, type RetryLimits} from '../../src/core/gateway/limits/retries.js';
import {Attempts} from '../../src/core/gateway/placement/attempts.js';
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
import {SilenceWatch} from './silence-watch.js';
import {EngineClocks, type EngineSilence} from './silences.js';
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

/** What hosts do with an answer whose engine is silent. */
export type SuccessionRule
	/** It goes on until its successor, for which a live engine has a place and there is a token of the retry budget, sends something. */
	= | 'secured'
	/** It is given up where the route allows another engine, for which a token and a place are looked for afterwards. */
		| 'given up first';

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
	/** Silences of engines; hosts look after silent engines only if there are some. */
	readonly silences?: readonly EngineSilence[];
	/** By default `secured`. */
	readonly succession?: SuccessionRule;
	/** Limits on successors of silent attempts. */
	readonly retries?: RetryLimits;
	/** Whether hosts learn the paces of engines; by default they do. */
	readonly arePacesLearned?: boolean;
};

/** Why an answer that began isn't whole. */
export type Loss
	/** Anything that isn't one of the others. */
	= | 'broken off'
	/** All engines that it is running at are dead, and its route allows no further one. */
		| 'engines used up'
	/** Its engine is dead and its route allows no further one; its caller left before its successor at a sound one sent something. */
		| 'late successor';

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
	/** When it ended, or its caller left; undefined if it was refused or is still running. */
	readonly endedAt?: number;
	/** Number of times that it was sent to an engine. */
	readonly sent: number;
	/** Why its answer isn't whole, if it began. */
	readonly loss?: Loss;
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

/** A request in progress; its attempts share this. */
type RequestProgress = {
	readonly attempts: Attempts;
	/** Attempts in progress, in the order of their placement. */
	readonly runs: RunningRequest[];
	/** Events that the caller has. */
	events: number;
	/** Time of the last event, in milliseconds since the arrival. */
	lastEvent: number;
	firstEvent?: number;
	longestPause: number;
};

/** An attempt of a request. */
type RunningRequest = {
	readonly arrival: Arrival;
	readonly progress: RequestProgress;
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
	/** Events of this attempt. */
	events: number;
	/** Whether it ends as soon as its successor has reached its engine, as it waits for its turn. */
	isQueued: boolean;
};

/** Rules of the route of all requests. */
const route = {attempts: 2, isResumable: true, kind: 'streaming'} as const;

const usualRetries: RetryLimits = {ratio: 0.2, window: 10_000, allowance: 100};

function getJobId({id}: Arrival, {attempts}: RequestProgress): string {
	return `${id}${'+'.repeat(attempts.sent)}`;
}

export class Simulation {
	readonly #options: SimulationOptions;
	readonly #policy: Policy;
	readonly #timeline = new Timeline();
	readonly #paces: readonly Paces[];
	readonly #shortPrefills: readonly ShortPrefills[];
	readonly #loads: readonly Load[];
	readonly #healths: readonly Health[];
	readonly #clocks: EngineClocks;
	readonly #watches: ReadonlyArray<SilenceWatch<RunningRequest>>;
	readonly #retries: RetryBudget;
	readonly #upstreams: readonly GatewayUpstream[];
	readonly #batches: readonly Batch[];
	readonly #isIterating: boolean[];
	/** Attempts by the id of their job, and requests by their id. */
	readonly #running = new Map<string, RunningRequest>();
	readonly #requests = new Map<string, RequestProgress>();
	readonly #results: Result[] = [];
	/** First events of engines while they were slow, by engine. */
	readonly #firstSlowEvents = new Map<number, number>();
	readonly #unevenEngines = new Map<string, UnevenEngine>();
	readonly #random = createRandom(1);
	readonly #checkRandom = createRandom(2);

	constructor(options: SimulationOptions) {
		this.#options = options;
		this.#policy = options.policy ?? defaultPolicy;
		this.#paces = Array.from({length: options.strategy === 'omniscient' ? 1 : options.hosts}, () => new Paces());
		this.#shortPrefills = this.#paces.map(() => new ShortPrefills());
		this.#loads = this.#paces.map(paces => new Load((upstream, now) => paces.get(upstream, now)));
		this.#healths = this.#paces.map(() => new Health());
		this.#clocks = new EngineClocks(options.silences ?? []);
		this.#retries = new RetryBudget(options.retries ?? usualRetries);
		this.#upstreams = Array.from({length: options.engines}, (_, index) => ({
			id: `e${index}`, service: 's', address: {host: '10.0.0.1', port: index + 1}, failureDomain: `d${index % 3}`, slots: options.model.slots, isDraining: false,
		}));
		this.#batches = this.#upstreams.map(() => new Batch(options.model));
		this.#isIterating = this.#upstreams.map(() => false);
		this.#watches = options.silences === undefined ? [] : this.#loads.map((_, host) => this.#createWatch(host));
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
		for (const {runs} of this.#requests.values()) {
			this.#recordResult(runs.at(-1)!, false, undefined);
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
		const progress: RequestProgress = {
			attempts: new Attempts(route), runs: [], events: 0, lastEvent: 0, longestPause: 0,
		};
		const chosen = this.#chooseEngine(demand, arrival);
		if (chosen === undefined || this.#isHarmful(demand, chosen) || !this.#reserve(getJobId(arrival, progress), chosen)) {
			this.#refuse(arrival, chosen, isRetry);
			return;
		}

		this.#retries.countRequest('s', now);
		this.#send(arrival, demand, chosen, progress);
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
				arrival, longestPause: 0, isDone: false, isRefused: true, helpers: 0, sent: 0,
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
			health: this.#healths[host % this.#healths.length]!,
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
		// A silent engine answers no reservation.
		const granted = engines.filter(engine => !this.#clocks.isSilent(engine, this.#timeline.now) && this.#batches[engine]!.hold(id, holdTokens));
		if (granted.length === engines.length) {
			return true;
		}

		for (const engine of granted) {
			this.#batches[engine]!.releaseHold(id);
		}

		return false;
	}

	#send(arrival: Arrival, demand: Demand, chosen: Placement, progress: RequestProgress): void {
		const {upstream, helpers, holdTokens, prefill} = chosen;
		const {model} = this.#options;
		const {now} = this.#timeline;
		const isRerouted = progress.attempts.sent > 0;
		const job: Job = {
			id: getJobId(arrival, progress),
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
		const running: RunningRequest = {
			paceSampler: new PaceSampler({
				load: this.#getLoad(arrival.host), shortPrefills: this.#shortPrefills[arrival.host % this.#paces.length]!, model, prompt: demand.prompt!, placement: chosen, job: job.id, sent: now,
			}),
			arrival, progress, job, host: arrival.host, engines, demand, place: chosen, isRerouted, pendingParts: engines.length, events: 0, isQueued: false,
		};
		const events = arrival.events - progress.events;
		progress.attempts.recordSent(upstream.id);
		progress.runs.push(running);
		this.#requests.set(arrival.id, progress);
		this.#running.set(job.id, running);
		this.#publishUpdate(arrival.host, (load, at) => {
			load.begin(job, at);
		}, job);
		this.#timeline.schedule(now + engineDelayMs, () => {
			if (!this.#running.has(job.id)) {
				return;
			}

			for (const waiting of progress.runs.filter(each => each.isQueued)) {
				this.#drop(waiting);
			}

			for (const [index, engine] of engines.entries()) {
				const isFirst = index === 0;
				this.#batches[engine]!.add({
					id: job.id,
					prompt: arrival.prompt,
					engineCount: engines.length,
					events: isFirst ? events : 0,
					priority: chosen.urgency ?? defaultUrgency,
					memory: isFirst && holdTokens === 0 ? computeMemory(model, arrival.prompt, events * model.stride) : 0,
				});
				this.#startIteration(engine);
			}
		});
		this.#timeline.schedule(arrival.at + arrival.kind.deadline, () => {
			this.#end(arrival.id, false);
		});
		this.#scheduleStreamTimeout(arrival);
		this.#watches[arrival.host % this.#loads.length]?.expectFirst(running, upstream, chosen.firstByte);
		this.#scheduleStall(running, firstEventMarginMs + (chosen.firstByte * predictionFactor));
	}

	/** Ends a request if no event arrives within the caller's timeout, which also applies to the first event. */
	#scheduleStreamTimeout({id, kind}: Arrival): void {
		const lastEvent = this.#requests.get(id)?.lastEvent;
		const timeout = Math.max(minStreamTimeoutMs, objectiveTimeoutFactor * kind.objective, pauseTimeoutFactor * kind.pause);
		this.#timeline.schedule(this.#timeline.now + timeout, () => {
			if (this.#requests.get(id)?.lastEvent === lastEvent) {
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
			const canReroute = running.host === host && !running.isRerouted && running.progress.runs.length === 1 && running.progress.firstEvent === undefined;
			if (canReroute && this.#policy.isYieldingEnabled && hasToYield(running.job, other, now)) {
				this.#reevaluate(running);
			}
		}
	}

	#reevaluate(running: RunningRequest): void {
		const {arrival, demand, job, progress} = running;
		const around = {...this.#createPlacementOptions(running.host), excludedJob: job.id, eligibility: {excluded: new Set([job.upstream])}};
		const reevaluation = reevaluate(demand, running.place, this.#upstreams, this.#options.model, around);
		if (reevaluation?.best === undefined || !isWorthRerouting(reevaluation.staying, reevaluation.best.loss)) {
			return;
		}

		if (this.#reserve(getJobId(arrival, progress), reevaluation.best)) {
			this.#drop(running);
			this.#send(arrival, demand, reevaluation.best, progress);
		}
	}

	/** Ends an attempt in whose place another one is kept. */
	#drop(running: RunningRequest): void {
		running.progress.attempts.recordDropped(running.job.upstream);
		this.#removeFromEngines(running);
	}

	#createWatch(host: number): SilenceWatch<RunningRequest> {
		const load = this.#loads[host]!;
		return new SilenceWatch({
			timeline: this.#timeline,
			random: this.#checkRandom,
			forecastIterationTime: upstream => this.#forecastIterationTime(load, upstream),
			computeAnswerTime: upstream => this.#clocks.computeEnd(this.#getEngineIndex(upstream), this.#timeline.now + engineDelayMs, 0) + engineDelayMs,
			onLife: upstream => {
				this.#recordReturn(host, upstream);
			},
		});
	}

	#forecastIterationTime(load: Load, upstream: string): number {
		const {iteration, prefilling, pace} = load.forecast(upstream, this.#options.model, this.#timeline.now);
		let prefill = 0;
		for (const job of prefilling) {
			prefill += job.readPerPass / pace.prefill;
		}

		return iteration + prefill;
	}

	/** Trusts an engine as before, here and after the delay at the other hosts. */
	#recordReturn(host: number, upstream: GatewayUpstream): void {
		if (this.#healths[host]!.silent.recordLife(upstream.id, this.#timeline.now) !== undefined) {
			this.#tellPeers(host, ({silent}, now) => {
				silent.recordReturn(upstream.id, now);
			});
		}
	}

	/** Records an engine that is silent alone, here and after the delay at the other hosts. */
	#recordSilence(host: number, upstream: GatewayUpstream): void {
		const {silent, isCommon} = this.#watches[host]!.view(upstream.service);
		if (silent.has(upstream.id) && !isCommon) {
			this.#healths[host]!.silent.meet(upstream.id, this.#timeline.now);
			this.#tellPeers(host, (health, now) => {
				health.silent.recordReport(upstream.id, now);
			});
		}
	}

	#tellPeers(host: number, update: (health: Health, at: number) => void): void {
		for (const [index, health] of this.#healths.entries()) {
			if (index !== host) {
				this.#timeline.schedule(this.#timeline.now + this.#options.updateDelay, () => {
					update(health, this.#timeline.now);
				});
			}
		}
	}

	/** Asks for a successor once an attempt has been without an event for the given time, and for as long as it is. */
	#scheduleStall(running: RunningRequest, time: number): void {
		const watch = this.#watches[running.host % this.#loads.length];
		if (watch === undefined) {
			return;
		}

		const {events, job, progress: {attempts}} = running;
		const since = this.#timeline.now;
		const isQuiet = () => this.#running.has(job.id) && running.events === events;
		this.#timeline.schedule(since + time - preparationMs, () => {
			if (isQuiet() && attempts.canFailOver && watch.view('s').live.size === 0) {
				watch.ask(this.#listEligible(running));
			}
		});
		const check = () => {
			if (!isQuiet()) {
				return;
			}

			const {now} = this.#timeline;
			const rest = computePatience(now - since, this.#forecastIterationTime(this.#getLoad(running.host), job.upstream));
			if (rest <= 0) {
				this.#requestSuccessor(running, watch);
			}

			this.#timeline.schedule(now + (rest > 0 ? Math.max(rest, 1) : notificationIntervalMs), check);
		};

		this.#timeline.schedule(since + time, check);
	}

	#listEligible({progress: {attempts: {eligibility: {excluded, permitted}}}}: RunningRequest): readonly GatewayUpstream[] {
		return this.#upstreams.filter(({id}) => !excluded.has(id) && permitted?.has(id) !== false);
	}

	#requestSuccessor(running: RunningRequest, watch: SilenceWatch<RunningRequest>): void {
		const {progress: {attempts, runs}} = running;
		if (!attempts.canFailOver || runs.at(-1) !== running) {
			return;
		}

		switch (this.#options.succession ?? 'secured') {
			case 'secured': {
				this.#secureSuccessor(running, watch);
				return;
			}

			case 'given up first': {
				this.#giveUp(running);
			}
		}
	}

	#secureSuccessor(running: RunningRequest, watch: SilenceWatch<RunningRequest>): void {
		const {arrival, progress, place: {upstream}} = running;
		const {now} = this.#timeline;
		const view = this.#allowsRetry() ? watch.findLive(upstream, this.#listEligible(running)) : undefined;
		if (view === undefined) {
			return;
		}

		const {excluded, permitted} = progress.attempts.eligibility;
		const demand: Demand = {...running.demand, hasBegun: progress.events > 0};
		const chosen = place(demand, this.#upstreams, this.#options.model, {
			...this.#createPlacementOptions(running.host),
			eligibility: {
				excluded: new Set([...excluded, ...view.silent]),
				permitted: permitted === undefined ? view.live : new Set([...view.live].filter(id => permitted.has(id))),
			},
		});
		if (chosen === undefined || !this.#reserve(getJobId(arrival, progress), chosen)) {
			watch.ask(this.#listEligible(running));
			return;
		}

		this.#retries.countRetry('s', now);
		this.#recordSilence(running.host % this.#loads.length, upstream);
		running.isQueued = progress.events === 0 && !view.silent.has(upstream.id);
		this.#send(arrival, demand, chosen, progress);
	}

	#giveUp(running: RunningRequest): void {
		const {arrival, progress, demand} = running;
		const {eligibility} = progress.attempts;
		this.#removeFromEngines(running);
		const chosen = this.#allowsRetry() ? place(demand, this.#upstreams, this.#options.model, {...this.#createPlacementOptions(running.host), eligibility}) : undefined;
		if (chosen === undefined || !this.#reserve(getJobId(arrival, progress), chosen)) {
			this.#requests.delete(arrival.id);
			this.#recordResult(running, false, this.#timeline.now - arrival.at);
			return;
		}

		this.#retries.countRetry('s', this.#timeline.now);
		this.#send(arrival, demand, chosen, progress);
	}

	#allowsRetry(): boolean {
		return this.#retries.allowsRetry('s', {hosts: 1, counted: 1}, this.#timeline.now);
	}

	#startIteration(engine: number): void {
		if (this.#isIterating[engine]) {
			return;
		}

		if (this.#clocks.isSilent(engine, this.#timeline.now)) {
			this.#timeline.schedule(this.#clocks.computeEnd(engine, this.#timeline.now, 0), () => {
				this.#startIteration(engine);
			});
			return;
		}

		const time = this.#batches[engine]!.startIteration();
		if (time === undefined) {
			return;
		}

		this.#isIterating[engine] = true;
		this.#timeline.schedule(this.#clocks.computeEnd(engine, this.#timeline.now, time * this.#getSlowness(engine)), () => {
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
			this.#batches[first]!.allowDecode(running.job.id);
			this.#startIteration(first);
		}
	}

	#handleEvent(running: RunningRequest, isFinished: boolean): void {
		const engine = running.engines[0]!;
		if (this.#getSlowness(engine) !== 1 && !this.#firstSlowEvents.has(engine)) {
			this.#firstSlowEvents.set(engine, this.#timeline.now);
		}

		this.#recordPace(running.host, running.paceSampler.noteEvents(this.#timeline.now));
		const {progress} = running;
		const at = this.#timeline.now + engineDelayMs + callerDelayMs - running.arrival.at;
		this.#lead(running);
		if (progress.firstEvent === undefined) {
			progress.firstEvent = at;
		} else {
			progress.longestPause = Math.max(progress.longestPause, at - progress.lastEvent);
		}

		if (running.events === 1) {
			this.#timeline.schedule(this.#timeline.now + engineDelayMs, () => {
				this.#publishUpdate(running.host, (load, now) => {
					load.recordFirstByte(running.job.id, now);
				});
			});
		}

		progress.lastEvent = at;
		if (isFinished) {
			this.#end(running.arrival.id, true);
		} else {
			this.#scheduleStreamTimeout(running.arrival);
			this.#scheduleStall(running, maxEventGapMs);
		}
	}

	/** Keeps the attempt that has sent something, and no other one of its request. */
	#lead(running: RunningRequest): void {
		const {progress} = running;
		running.events++;
		progress.events++;
		this.#watches[running.host % this.#loads.length]?.recordEvent(running, running.place.upstream);
		for (const other of progress.runs.filter(each => each !== running)) {
			this.#drop(other);
		}
	}

	#end(id: string, isDone: boolean): void {
		const progress = this.#requests.get(id);
		if (progress === undefined) {
			return;
		}

		const last = progress.runs.at(-1)!;
		this.#recordResult(last, isDone, this.#timeline.now - last.arrival.at);
		while (progress.runs.length > 0) {
			this.#removeFromEngines(progress.runs[0]!);
		}

		this.#requests.delete(id);
	}

	#removeFromEngines(running: RunningRequest): void {
		const {
			engines, host, job, progress: {runs},
		} = running;
		runs.splice(runs.indexOf(running), 1);
		this.#running.delete(job.id);
		this.#watches[host % this.#loads.length]?.end(running);
		for (const engine of engines) {
			this.#batches[engine]!.remove(job.id);
			this.#batches[engine]!.releaseHold(job.id);
		}

		this.#publishUpdate(host, (load, now) => {
			load.end(job.id, now);
		});
	}

	#recordResult({arrival, progress, job, place}: RunningRequest, isDone: boolean, endedAt: number | undefined): void {
		const {firstEvent, longestPause, attempts} = progress;
		this.#results.push({
			arrival, firstEvent, longestPause, isDone, isRefused: false, helpers: job.helpers.length, predicted: place.firstByte, endedAt, sent: attempts.sent,
			loss: isDone || firstEvent === undefined ? undefined : this.#findLoss(progress),
		});
	}

	#findLoss({runs, attempts}: RequestProgress): Loss {
		const isDead = ({engines}: RunningRequest) => engines.some(engine => this.#clocks.isDead(engine, this.#timeline.now));
		const [first] = runs;
		if (first === undefined || attempts.canFailOver || !isDead(first)) {
			return 'broken off';
		}

		return runs.every(running => isDead(running)) ? 'engines used up' : 'late successor';
	}

	#getEngineIndex(upstream: GatewayUpstream): number {
		return Number(upstream.id.slice(1));
	}
}
