/**
 * Several hosts' core states before model engines, in virtual time. Only the core's own step function decides; the
 * engines are queues, the network a fixed delay. It is a check of the decisions, not of a cluster.
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
import {ownDemands} from '../../src/core/features/limits/queries.js';
import {ownMixes} from '../../src/core/features/routing/segments.js';
import {ownLoads} from '../../src/core/features/membership/heartbeat.js';
import {ModelEngine, type EngineSpeed, type Job} from './engine.js';
import {Timeline} from './timeline.js';
import {seeded, type Arrival} from './workload.js';

export type Layout = {
	readonly hosts: number;
	readonly engines: number;
	readonly policy: Policy;
	readonly speed: EngineSpeed;
	readonly organisations: ReadonlyArray<{readonly id: string; readonly weight: number}>;
	/** Milliseconds. */
	readonly deadline: number;
	readonly weights: {readonly slowdown: number; readonly firstToken: number};
};

/** What became of one request; times in milliseconds. */
export type Result = {
	readonly arrival: Arrival;
	readonly deadline: number;
	readonly firstToken?: number;
	readonly end?: number;
	readonly outcome?: Outcome;
	/** Prompt tokens that the engine had cached. */
	readonly cached: number;
};

const oneWay = 0.5;
const tickInterval = 25;
const heartbeatInterval = 100;
const reportInterval = 250;
const reportLag = 500;
const checkInterval = 1000;
const blockTokens = 256;

function configuration(layout: Layout): Configuration {
	return configurationSchema.parse({
		schema: 1,
		revision: 1,
		failureDomains: [{id: 'a', region: 'r'}],
		services: [{
			id: 's',
			kind: 'model',
			model: 'm',
			deadline: {default: layout.deadline, most: layout.deadline * 10},
			idempotent: true,
			policy: layout.policy,
			weights: layout.weights,
		}],
		organisations: layout.organisations.map(({id, weight}) => ({id, keyHashes: [], weight})),
		upstreams: Array.from({length: layout.engines}, (_, index) => ({
			id: `e${index}`,
			failureDomain: 'a',
			address: {host: '127.0.0.1', port: index + 1},
			kind: 'engine',
			service: 's',
			memory: layout.speed.memory,
			prefillRate: layout.speed.prefillRate,
			decodeInterval: layout.speed.decodeInterval,
			batch: layout.speed.batch,
			fencing: true,
		})),
		tokenKeys: [{id: 'k', secret: '0'.repeat(64)}],
	});
}

function member(host: number) {
	return {
		incarnation: {host: `h${host}`, started: 1},
		failureDomain: 'a',
		peerAddress: {host: '127.0.0.1', port: 1},
		callerAddress: {host: '127.0.0.1', port: 2},
	};
}

export class Fleet {
	readonly #timeline = new Timeline();
	readonly #layout: Layout;
	readonly #random: Random;
	readonly #states: State[];
	readonly #engines: readonly ModelEngine[];
	readonly #results = new Map<string, Result>();

	constructor(layout: Layout, seed: number) {
		this.#layout = layout;
		this.#random = seeded(seed);
		this.#states = Array.from({length: layout.hosts}, (_, index) => initialState(member(index)));
		this.#engines = Array.from({length: layout.engines}, () => new ModelEngine(layout.speed));
		const document = configuration(layout);
		for (let host = 0; host < layout.hosts; host++) {
			this.#step(host, {
				type: 'configuration-received', source: {type: 'file'}, configuration: document, digest: 'd', text: '',
			});
			this.#repeat(tickInterval, () => {
				this.#step(host, {type: 'tick'});
			});
			this.#repeat(heartbeatInterval, () => {
				this.#publish(host);
			});
		}

		for (let engine = 0; engine < layout.engines; engine++) {
			this.#repeat(reportInterval, () => {
				this.#report(engine);
			});
		}
	}

	/** Milliseconds of prefill that all engines did, over what they could have done. */
	get utilisation(): number {
		let worked = 0;
		for (const engine of this.#engines) {
			worked += engine.worked;
		}

		return worked / (this.#timeline.now * this.#engines.length);
	}

	/** Whether a request has not been answered. */
	get #isWaited(): boolean {
		return [...this.#results.values()].some(each => each.outcome === undefined);
	}

	/**
	 * @param arrivals - Requests.
	 * @param end - Time to stop at, in milliseconds.
	 * @returns What became of each request.
	 */
	run(arrivals: readonly Arrival[], end: number): readonly Result[] {
		for (const [index, arrival] of arrivals.entries()) {
			this.#timeline.add(arrival.at, () => {
				this.#arrive(`r${index}`, arrival);
			});
		}

		const last = arrivals.at(-1)?.at ?? end;
		for (let time = last; time <= end && (time === last || this.#isWaited); time += checkInterval) {
			this.#timeline.runUntil(time);
		}

		return [...this.#results.values()];
	}

	/**
	 * @param host - Number of a host.
	 * @returns Its core's state.
	 */
	stateOf(host: number): State {
		return this.#states[host]!;
	}

	#repeat(interval: number, run: () => void): void {
		const next = () => {
			run();
			this.#timeline.add(this.#timeline.now + interval, next);
		};

		this.#timeline.add(this.#random.integer(0, interval), next);
	}

	#arrive(id: string, arrival: Arrival): void {
		const {now} = this.#timeline;
		const shared = Math.floor(arrival.prefixTokens / blockTokens);
		const deadline = now + this.#layout.deadline;
		this.#results.set(id, {arrival, deadline, cached: 0});
		this.#step(arrival.host, {
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
					index < shared ? `${arrival.prefix}/${index}` : `${id}/${index}`),
				proof: {type: 'idempotent'},
				fingerprint: id,
			},
		});
	}

	#step(host: number, event: Event): void {
		const {now} = this.#timeline;
		const {state, effects} = step(this.#states[host]!, event, {now, wall: now, random: this.#random});
		this.#states[host] = state;
		for (const effect of effects) {
			this.#execute(host, effect);
		}
	}

	#execute(host: number, effect: Effect): void {
		switch (effect.type) {
			case 'send': {
				const {arrival} = this.#results.get(effect.request)!;
				const {promptTokens, prefix, prefixTokens, output} = arrival;
				this.#after(() => {
					this.#add(effect.upstream, {
						attempt: effect.attempt, host, priority: effect.priority, promptTokens, prefix, prefixTokens, output,
					});
				});
				break;
			}

			case 'cancel': {
				this.#after(() => {
					this.#engine(effect.upstream).remove(effect.attempt);
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

	#after(run: () => void): void {
		this.#timeline.add(this.#timeline.now + oneWay, run);
	}

	#engine(id: string): ModelEngine {
		return this.#engines[Number(id.slice(1))]!;
	}

	#add(id: string, job: Job): void {
		const engine = this.#engine(id);
		engine.add(job);
		if (!engine.isBusy) {
			this.#iterate(engine);
		}
	}

	#iterate(engine: ModelEngine): void {
		const duration = engine.begin();
		if (duration === undefined) {
			return;
		}

		this.#timeline.add(this.#timeline.now + duration, () => {
			for (const {job, cached, produced, isOver} of engine.finish()) {
				this.#advance(job, cached, produced, isOver);
			}

			this.#iterate(engine);
		});
	}

	#advance(job: Job, cached: number, produced: number, isOver: boolean): void {
		const {host, attempt} = job;
		if (produced === 1) {
			this.#after(() => {
				this.#note(attempt, cached);
				this.#step(host, {
					type: 'attempt-progressed', attempt, tokens: 1, cachedTokens: cached,
				});
			});
		}

		if (isOver) {
			this.#after(() => {
				this.#step(host, {type: 'attempt-ended', attempt, ending: {type: 'done', tokens: produced, cachedTokens: cached}});
			});
		}
	}

	#note(attempt: string, cached: number): void {
		const id = attempt.slice(0, attempt.indexOf('.'));
		const result = this.#results.get(id)!;
		this.#results.set(id, {...result, firstToken: this.#timeline.now - result.arrival.at, cached});
	}

	#report(index: number): void {
		const engine = this.#engines[index]!;
		const report = {
			upstream: `e${index}`,
			incarnation: '1',
			age: reportLag,
			ready: true,
			running: engine.running,
			waiting: engine.waiting,
			queuedPrefill: engine.queuedPrefill,
			usedMemory: engine.usedMemory,
			memory: this.#layout.speed.memory,
		};
		this.#timeline.add(this.#timeline.now + reportLag, () => {
			for (let host = 0; host < this.#layout.hosts; host++) {
				this.#step(host, {type: 'report-received', report});
			}
		});
	}

	/** What heartbeats would bring, put into the peers' states directly: membership has its own tests. */
	#publish(host: number): void {
		const state = this.#states[host]!;
		const {now} = this.#timeline;
		const loads = Table(ownLoads(state).map(load => [load.upstream, load] as [string, Load]));
		const peer: Peer = {
			member: member(host),
			phase: 'serving',
			status: 'live',
			connected: true,
			heard: now,
			learnt: 0,
			changed: 0,
			sequence: 0,
			isWhole: true,
			revision: 1,
			digest: 'd',
			loads,
			demands: ownDemands(state, now),
			mixes: ownMixes(state, now),
		};
		this.#after(() => {
			for (const [index, other] of this.#states.entries()) {
				if (index !== host) {
					const peers = other.membership.peers.set(`h${host}`, peer);
					this.#states[index] = {...other, membership: {...other.membership, peers}};
				}
			}
		});
	}
}
