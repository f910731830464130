/**
 * Simulates several hosts and their model engines in virtual time. Only the core's step function makes decisions; engines
 * are modelled as queues and the network as a fixed delay, so this checks the decisions, not a cluster.
 */
import {Map as Table} from 'immutable';
import {
	configurationSchema,
	initialState,
	step,
	type Configuration,
	type Effect,
	type Event,
	type Load,
	type Outcome,
	type Policy,
	type Random,
	type State,
} from '../../src/core/index.js';
import {type Peer} from '../../src/core/features/membership/types.js';
import {getOwnDemands} from '../../src/core/features/limits/queries.js';
import {getOwnMixes} from '../../src/core/features/routing/segments.js';
import {listOwnLoads} from '../../src/core/features/membership/heartbeat.js';
import {EngineClocks, type EngineSilence} from '../gateway/silences.js';
import {ModelEngine, type ModelEngineOptions, type Job} from './engine.js';
import {Timeline} from './timeline.js';
import {createRandom, type Arrival} from './workload.js';

export type FleetOptions = {
	readonly hosts: number;
	readonly engines: number;
	readonly policy: Policy;
	readonly engineOptions: ModelEngineOptions;
	readonly organisations: ReadonlyArray<{readonly id: string; readonly weight: number}>;
	/** Milliseconds. */
	readonly deadline: number;
	readonly weights: {readonly slowdown: number; readonly firstToken: number};
	/** Silences of engines, which send neither tokens nor reports meanwhile. */
	readonly silences?: readonly EngineSilence[];
	/** When the configuration changes, in milliseconds; the services and upstreams stay the same. */
	readonly configurationChanges?: readonly number[];
};

/** Result of one request; times in milliseconds. */
export type RequestResult = {
	readonly arrival: Arrival;
	readonly deadline: number;
	readonly firstToken?: number;
	readonly end?: number;
	readonly outcome?: Outcome;
	/** Prompt tokens that the engine had cached. */
	readonly cached: number;
};

const networkDelayMs = 0.5;
const tickIntervalMs = 25;
const heartbeatIntervalMs = 100;
const reportIntervalMs = 250;
const reportLagMs = 500;
const checkIntervalMs = 1000;
const blockTokens = 256;

function buildConfiguration(options: FleetOptions): Configuration {
	return configurationSchema.parse({
		schema: 1,
		revision: 1,
		failureDomains: [{id: 'a', region: 'r'}],
		services: [{
			id: 's',
			kind: 'model',
			model: 'm',
			deadline: {default: options.deadline, most: options.deadline * 10},
			idempotent: true,
			policy: options.policy,
			weights: options.weights,
		}],
		organisations: options.organisations.map(({id, weight}) => ({id, keyHashes: [], weight})),
		upstreams: Array.from({length: options.engines}, (_, index) => ({
			id: `e${index}`,
			failureDomain: 'a',
			address: {host: '127.0.0.1', port: index + 1},
			kind: 'engine',
			service: 's',
			memory: options.engineOptions.memory,
			prefillRate: options.engineOptions.prefillRate,
			decodeInterval: options.engineOptions.decodeInterval,
			batch: options.engineOptions.batch,
			fencing: true,
		})),
		tokenKeys: [{id: 'k', secret: '0'.repeat(64)}],
	});
}

function buildMember(host: number) {
	return {
		incarnation: {host: `h${host}`, started: 1},
		failureDomain: 'a',
		peerAddress: {host: '127.0.0.1', port: 1},
		callerAddress: {host: '127.0.0.1', port: 2},
	};
}

export class Fleet {
	readonly #timeline = new Timeline();
	readonly #options: FleetOptions;
	readonly #random: Random;
	readonly #states: State[];
	readonly #engines: readonly ModelEngine[];
	readonly #clocks: EngineClocks;
	#revision = 1;
	readonly #results = new Map<string, RequestResult>();

	constructor(options: FleetOptions, seed: number) {
		this.#options = options;
		this.#random = createRandom(seed);
		this.#clocks = new EngineClocks(options.silences ?? []);
		this.#states = Array.from({length: options.hosts}, (_, index) => initialState(buildMember(index)));
		this.#engines = Array.from({length: options.engines}, () => new ModelEngine(options.engineOptions));
		const document = buildConfiguration(options);
		for (let host = 0; host < options.hosts; host++) {
			this.#dispatch(host, {
				type: 'configuration-received', source: {type: 'file'}, configuration: document, digest: 'd', text: '',
			});
			this.#scheduleEvery(tickIntervalMs, () => {
				this.#dispatch(host, {type: 'tick'});
			});
			this.#scheduleEvery(heartbeatIntervalMs, () => {
				this.#publishHeartbeat(host);
			});
		}

		for (const [index, at] of (options.configurationChanges ?? []).entries()) {
			const revision = index + 2;
			this.#timeline.schedule(at, () => {
				this.#revision = revision;
				for (let host = 0; host < options.hosts; host++) {
					this.#dispatch(host, {
						type: 'configuration-received', source: {type: 'file'}, configuration: {...document, revision}, digest: `d${revision}`, text: '',
					});
				}
			});
		}

		for (let engine = 0; engine < options.engines; engine++) {
			this.#scheduleEvery(reportIntervalMs, () => {
				this.#sendReport(engine);
			});
		}
	}

	/** Share of the engines' time spent on prefill. */
	get utilisation(): number {
		let prefillTime = 0;
		for (const engine of this.#engines) {
			prefillTime += engine.prefillTime;
		}

		return prefillTime / (this.#timeline.now * this.#engines.length);
	}

	/** Whether any request is still unanswered. */
	get #hasPendingRequests(): boolean {
		return [...this.#results.values()].some(each => each.outcome === undefined);
	}

	/**
	 * Runs until every request is answered or the end is reached.
	 *
	 * @param arrivals - Requests in order of time.
	 * @param end - Time to stop at, in milliseconds.
	 * @returns Result of each request.
	 */
	run(arrivals: readonly Arrival[], end: number): readonly RequestResult[] {
		for (const [index, arrival] of arrivals.entries()) {
			this.#timeline.schedule(arrival.at, () => {
				this.#submitRequest(`r${index}`, arrival);
			});
		}

		const last = arrivals.at(-1)?.at ?? end;
		for (let time = last; time <= end && (time === last || this.#hasPendingRequests); time += checkIntervalMs) {
			this.#timeline.runUntil(time);
		}

		return [...this.#results.values()];
	}

	/**
	 * @param host - Index of a host.
	 * @returns State of its core.
	 */
	getHostState(host: number): State {
		return this.#states[host]!;
	}

	#scheduleEvery(interval: number, run: () => void): void {
		const next = () => {
			run();
			this.#timeline.schedule(this.#timeline.now + interval, next);
		};

		this.#timeline.schedule(this.#random.integer(0, interval), next);
	}

	#submitRequest(id: string, arrival: Arrival): void {
		const {now} = this.#timeline;
		const sharedBlocks = Math.floor(arrival.prefixTokens / blockTokens);
		const deadline = now + this.#options.deadline;
		this.#results.set(id, {arrival, deadline, cached: 0});
		this.#dispatch(arrival.host, {
			type: 'request-arrived',
			request: {
				id,
				organisation: arrival.organisation,
				service: 's',
				priority: 5,
				arrival: now,
				deadline,
				promptTokens: arrival.promptTokens,
				blocks: Array.from({length: Math.ceil(arrival.promptTokens / blockTokens)}, (_, index) =>
					index < sharedBlocks ? `${arrival.prefix}/${index}` : `${id}/${index}`),
				proof: {type: 'idempotent'},
				fingerprint: id,
			},
		});
	}

	#dispatch(host: number, event: Event): void {
		const {now} = this.#timeline;
		const {state, effects} = step(this.#states[host]!, event, {now, wall: now, random: this.#random});
		this.#states[host] = state;
		for (const effect of effects) {
			this.#executeEffect(host, effect);
		}
	}

	#executeEffect(host: number, effect: Effect): void {
		switch (effect.type) {
			case 'send': {
				const {arrival} = this.#results.get(effect.request)!;
				const {promptTokens, prefix, prefixTokens, output} = arrival;
				this.#scheduleDelivery(() => {
					this.#addJob(effect.upstream, {
						attempt: effect.attempt, host, priority: effect.priority, promptTokens, prefix, prefixTokens, output,
					});
				});
				break;
			}

			case 'cancel': {
				this.#scheduleDelivery(() => {
					this.#findEngine(effect.upstream).remove(effect.attempt);
				});
				break;
			}

			case 'answer': {
				const result = this.#results.get(effect.request)!;
				this.#results.set(effect.request, {...result, end: this.#timeline.now, outcome: effect.outcome});
				break;
			}

			default: {
				break;
			}
		}
	}

	#scheduleDelivery(run: () => void): void {
		this.#timeline.schedule(this.#timeline.now + networkDelayMs, run);
	}

	#findEngine(id: string): ModelEngine {
		return this.#engines[Number(id.slice(1))]!;
	}

	#addJob(id: string, job: Job): void {
		const engine = this.#findEngine(id);
		engine.add(job);
		if (!engine.isBusy) {
			this.#runIterations(engine);
		}
	}

	#runIterations(engine: ModelEngine): void {
		const {now} = this.#timeline;
		const index = this.#engines.indexOf(engine);
		if (this.#clocks.isSilent(index, now)) {
			this.#timeline.schedule(this.#clocks.computeEnd(index, now, 0), () => {
				if (!engine.isBusy) {
					this.#runIterations(engine);
				}
			});
			return;
		}

		const duration = engine.startIteration();
		if (duration === undefined) {
			return;
		}

		this.#timeline.schedule(this.#clocks.computeEnd(index, now, duration), () => {
			engine.isBusy = false;
			for (const {job, cached, produced, isFinished} of engine.finishIteration()) {
				this.#sendProgress(job, cached, produced, isFinished);
			}

			this.#runIterations(engine);
		});
	}

	#sendProgress(job: Job, cached: number, produced: number, isFinished: boolean): void {
		const {host, attempt} = job;
		if (produced === 1) {
			this.#scheduleDelivery(() => {
				this.#recordFirstToken(attempt, cached);
				this.#dispatch(host, {
					type: 'attempt-progressed', attempt, tokens: 1, cachedTokens: cached,
				});
			});
		}

		if (isFinished) {
			this.#scheduleDelivery(() => {
				this.#dispatch(host, {type: 'attempt-ended', attempt, ending: {type: 'done', tokens: produced, cachedTokens: cached}});
			});
		}
	}

	#recordFirstToken(attempt: string, cached: number): void {
		const id = attempt.slice(0, attempt.indexOf('.'));
		const result = this.#results.get(id)!;
		this.#results.set(id, {...result, firstToken: this.#timeline.now - result.arrival.at, cached});
	}

	#sendReport(index: number): void {
		if (this.#clocks.isSilent(index, this.#timeline.now)) {
			return;
		}

		const engine = this.#engines[index]!;
		const report = {
			upstream: `e${index}`,
			incarnation: '1',
			age: reportLagMs,
			ready: true,
			running: engine.running,
			waiting: engine.waiting,
			queuedPrefill: engine.queuedPrefill,
			usedMemory: engine.usedMemory,
			memory: this.#options.engineOptions.memory,
		};
		this.#timeline.schedule(this.#timeline.now + reportLagMs, () => {
			for (let host = 0; host < this.#options.hosts; host++) {
				this.#dispatch(host, {type: 'report-received', report});
			}
		});
	}

	/** Writes what a heartbeat would carry directly into the other hosts' states, since membership has its own tests. */
	#publishHeartbeat(host: number): void {
		const state = this.#states[host]!;
		const {now} = this.#timeline;
		const loads = Table(listOwnLoads(state).map(load => [load.upstream, load] as [string, Load]));
		const peer: Peer = {
			member: buildMember(host),
			phase: 'serving',
			status: 'live',
			connected: true,
			lastSeen: now,
			addedAt: 0,
			changed: 0,
			sequence: 0,
			hasAllLoads: true,
			revision: this.#revision,
			digest: this.#revision === 1 ? 'd' : `d${this.#revision}`,
			loads,
			demands: getOwnDemands(state, now),
			mixes: getOwnMixes(state, now),
		};
		this.#scheduleDelivery(() => {
			for (const [index, other] of this.#states.entries()) {
				if (index !== host) {
					const peers = other.membership.peers.set(`h${host}`, peer);
					this.#states[index] = {...other, membership: {...other.membership, peers}};
				}
			}
		});
	}
}
