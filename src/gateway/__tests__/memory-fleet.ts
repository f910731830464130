/** Plays requests of a fleet that compete for KV memory, in virtual time, with the placement, the forecast and the queue of the hosts. */
import {Timeline} from '../../../bench/model/timeline.js';
import {createRandom} from '../../../bench/model/workload.js';
import {estimatePrefill, footprint} from '../../core/gateway/engines/engine.js';
import {Health} from '../../core/gateway/health/health.js';
import {Load, type Job} from '../../core/gateway/engines/load.js';
import {computeWeight} from '../../core/gateway/engines/losses.js';
import {type MemoryClaim} from '../../core/gateway/engines/memory-admission.js';
import {planReservation, type ReservationPlan} from '../../core/gateway/engines/memory-reservation.js';
import {
	place, substitute, type Placement, type PlacementOptions,
} from '../../core/gateway/placement/placement.js';
import {defaultPolicy} from '../../core/gateway/placement/policy.js';
import {type Demand, type EngineModel, type GatewayUpstream} from '../../core/gateway/types.js';
import {MemoryQueue} from '../requests/memory-queue.js';

export const fleetModel: EngineModel = {
	slots: 8, memory: 197_200, stride: 43, step: 1.02, perRequest: 0.003_29, perThousand: 0.004_31, readRate: 206, pairs: 0.138, chunk: 2048, hop: 0.075, usualPrompt: 14_000, usualAnswer: 1303,
};

export type Kind = {
	readonly name: string;
	/** Requests per second. */
	readonly rate: number;
	/** Mean length in tokens; lengths are spread evenly from 20% to 180% of it, and up to `longest` for one in eight. */
	readonly tokens: number;
	readonly longest: number;
	readonly objective: number;
	readonly deadline: number;
	readonly pause: number;
};

export type FleetOptions = {
	readonly kinds: readonly Kind[];
	readonly seconds: number;
	readonly engines: number;
	readonly hosts: number;
	/** Milliseconds until other hosts know of a job or a claim. */
	readonly delay: number;
	readonly seed: number;
};

export type Outcome = {
	readonly kind: string;
	readonly tokens: number;
	readonly result: 'served' | 'late' | 'refused';
	/** Milliseconds from the arrival until it was sent or refused. */
	readonly waited: number;
};

type Host = {
	readonly name: string;
	readonly load: Load;
	readonly queue: MemoryQueue;
};

const orderMs = 3;
const maxSubstitutions = 4;
const maxShortages = 24;
const checkIntervalMs = 20;
const retryIntervalMs = 200;

export class MemoryFleet {
	readonly outcomes: Outcome[] = [];
	reservations = 0;
	unusedReservations = 0;
	/** Tokens of requests that were sent to engines without enough free memory, by job. */
	readonly overruns = new Map<string, number>();
	readonly #options: FleetOptions;
	readonly #timeline = new Timeline();
	readonly #random;
	readonly #health = new Health();
	readonly #upstreams: readonly GatewayUpstream[];
	readonly #engines: readonly string[];
	readonly #hosts: readonly Host[];
	/** Memory in use at each engine, by job. */
	readonly #memory = new Map<string, Map<string, number>>();
	readonly #prefillUntil = new Map<string, number>();
	/** Reservations that engines refused, by request. */
	readonly #shortages = new Map<string, number>();
	#jobCount = 0;

	constructor(options: FleetOptions) {
		this.#options = options;
		this.#random = createRandom(options.seed);
		this.#upstreams = Array.from({length: options.engines}, (_, index) => ({
			id: `e${String(index).padStart(2, '0')}`, service: 's', address: {host: '10.0.0.1', port: index + 1}, failureDomain: `d${index % 3}`, slots: fleetModel.slots, isDraining: false,
		}));
		this.#engines = this.#upstreams.map(({id}) => id);
		this.#hosts = Array.from({length: options.hosts}, (_, index) => this.#createHost(`h${index}`));
	}

	/** Tokens in use at all engines. */
	get used(): number {
		return this.#engines.reduce((sum, id) => sum + this.#usedAt(id), 0);
	}

	/** Number of requests that wait at all hosts. */
	get waiting(): number {
		return this.#hosts.reduce((sum, {queue}) => sum + queue.size, 0);
	}

	run(): void {
		for (const kind of this.#options.kinds) {
			for (let at = this.#exponential(kind.rate); at < this.#options.seconds * 1000; at += this.#exponential(kind.rate)) {
				this.#timeline.schedule(at, () => {
					this.#arrive(kind);
				});
			}
		}

		this.#timeline.runUntil((this.#options.seconds + 40) * 1000);
	}

	#createHost(name: string): Host {
		const load = new Load();
		const queue = new MemoryQueue({
			self: name,
			host: name,
			load,
			now: () => this.#timeline.now,
			publish: (claim: MemoryClaim) => {
				this.#tellOthers(name, other => {
					other.queue.applyClaim(claim);
				});
			},
		});
		return {name, load, queue};
	}

	#uniform(): number {
		return this.#random.integer(0, 1_000_000) / 1_000_000;
	}

	#exponential(rate: number): number {
		return -Math.log(Math.max(this.#uniform(), 1e-6)) / rate * 1000;
	}

	#usedAt(engine: string): number {
		return [...this.#memory.get(engine)?.values() ?? []].reduce((sum, tokens) => sum + tokens, 0);
	}

	#tellOthers(name: string, tell: (host: Host) => void): void {
		this.#timeline.schedule(this.#timeline.now + this.#options.delay, () => {
			for (const host of this.#hosts) {
				if (host.name !== name) {
					tell(host);
				}
			}
		});
	}

	#arrive(kind: Kind): void {
		const {now} = this.#timeline;
		const isLongest = this.#uniform() < 0.125;
		const tokens = Math.round(isLongest ? kind.tokens + (this.#uniform() * (kind.longest - kind.tokens)) : kind.tokens * (0.2 + (this.#uniform() * 1.6)));
		const demand: Demand = {
			id: `${kind.name}-${this.#jobCount++}`, service: 's', kind: 'streaming', priority: 1, arrived: now, due: now + kind.objective, deadline: now + kind.deadline, pause: kind.pause, prompt: {tokens, answer: 2000},
		};
		this.#attempt(kind, demand, this.#hosts[this.#random.integer(0, this.#hosts.length - 1)]!);
	}

	#conclude(kind: Kind, {prompt, arrived}: Demand, result: Outcome['result'], at = this.#timeline.now): void {
		this.outcomes.push({
			kind: kind.name, tokens: prompt!.tokens, result, waited: at - arrived,
		});
	}

	#attempt(kind: Kind, demand: Demand, host: Host): void {
		const placement = place(demand, this.#upstreams, fleetModel, this.#placementOptions(demand, host));
		if (placement === undefined) {
			this.#wait(kind, demand, host);
			return;
		}

		const plan = planReservation(demand.prompt!, placement, {
			model: fleetModel, load: host.load, engines: this.#engines, host: host.name, now: this.#timeline.now,
		});
		const sent: Sent = {
			kind, demand, host, job: this.#begin(demand, placement, host), placement, plan,
		};
		if (plan.type === 'none') {
			this.#send(sent);
		} else {
			this.#reserve(sent, [], 0);
		}
	}

	#placementOptions(demand: Demand, host: Host): PlacementOptions {
		return {
			policy: defaultPolicy,
			load: host.load,
			health: this.#health,
			host: host.name,
			failureDomain: 'd0',
			unreachable: new Set(),
			findObstacle: () => undefined,
			eligibility: {excluded: new Set()},
			limitMemory: host.queue.createLimit(demand, fleetModel),
			unknownMemory: host.queue.estimateUnknownMemory(fleetModel, this.#engines),
			now: this.#timeline.now,
		};
	}

	#wait(kind: Kind, demand: Demand, host: Host): void {
		const {queue, load} = host;
		const decision = queue.isContended(fleetModel, demand.prompt!) ? queue.consider(demand, demand.prompt!, fleetModel, this.#engines) : undefined;
		if (decision?.type !== 'wait') {
			this.#conclude(kind, demand, 'refused');
			return;
		}

		const {removals} = load;
		const until = this.#timeline.now + retryIntervalMs;
		const check = () => {
			if (load.removals !== removals || this.#timeline.now >= until) {
				this.#timeline.schedule(this.#timeline.now + queue.computeTurnDelay(demand.id), () => {
					this.#attempt(kind, demand, host);
				});
			} else {
				this.#timeline.schedule(this.#timeline.now + checkIntervalMs, check);
			}
		};

		this.#timeline.schedule(this.#timeline.now + checkIntervalMs, check);
	}

	#begin(demand: Demand, placement: Placement, host: Host): Job {
		const {now} = this.#timeline;
		const job: Job = {
			id: `j${this.#jobCount++}`, host: host.name, upstream: placement.upstream.id, helpers: placement.helpers.map(each => each.id),
			prompt: demand.prompt!.tokens, answer: demand.prompt!.answer, isHeld: placement.holdTokens > 0,
			read: placement.prefill.total, readPerPass: placement.prefill.perIteration, pause: demand.pause, urgency: placement.urgency,
			weight: computeWeight(fleetModel, demand.prompt!), placing: 'first', began: now, due: demand.due, deadline: demand.deadline,
		};
		this.#publish(host, load => {
			load.begin(job, this.#timeline.now);
		});
		return job;
	}

	#publish(host: Host, update: (load: Load) => void): void {
		update(host.load);
		this.#tellOthers(host.name, other => {
			update(other.load);
		});
	}

	/** Reserves the missing parts one after another, and replaces an engine that refuses as often as a host does. */
	#reserve(sent: Sent, granted: readonly string[], substitutions: number): void {
		const {job, plan} = sent;
		const engine = (plan.type === 'split' ? [job.upstream, ...job.helpers] : [job.upstream]).toSorted().find(each => !granted.includes(each));
		if (engine === undefined || plan.type === 'none') {
			this.reservations++;
			this.#send(sent);
			return;
		}

		this.#timeline.schedule(this.#timeline.now + orderMs, () => {
			if (this.#usedAt(engine) + plan.tokens <= fleetModel.memory) {
				this.#take(engine, job.id, plan.tokens);
				this.#reserve(sent, [...granted, engine], substitutions);
			} else {
				this.#replace(sent, granted, engine, substitutions);
			}
		});
	}

	#replace(sent: Sent, granted: readonly string[], refused: string, substitutions: number): void {
		const {kind, demand, host, job, plan} = sent;
		host.queue.noteRefusal(refused);
		const placement = plan.type === 'split' && substitutions < maxSubstitutions
			? substitute(sent.placement, refused, demand, fleetModel, this.#upstreams, this.#placementOptions(demand, host))
			: undefined;
		if (placement !== undefined) {
			const changed = {...sent, placement, job: this.#begin(demand, placement, host)};
			for (const engine of granted) {
				this.#memory.get(engine)!.delete(job.id);
				this.#take(engine, changed.job.id, placement.holdTokens);
			}

			this.#end(host, job);
			this.#reserve(changed, granted, substitutions + 1);
			return;
		}

		if (granted.length > 0) {
			this.reservations++;
			this.unusedReservations++;
		}

		this.#timeline.schedule(this.#timeline.now + orderMs, () => {
			this.#end(host, job);
			const shortages = (this.#shortages.get(demand.id) ?? 0) + 1;
			this.#shortages.set(demand.id, shortages);
			if (shortages < maxShortages && plan.type === 'contested' && shortages % maxSubstitutions > 0) {
				this.#attempt(kind, demand, host);
			} else if (shortages < maxShortages) {
				this.#wait(kind, demand, host);
			} else {
				host.queue.leave(demand.id);
				this.#conclude(kind, demand, 'refused');
			}
		});
	}

	/** Frees the memory of a job and reports its end. */
	#end(host: Host, job: Job): void {
		for (const engine of [job.upstream, ...job.helpers]) {
			this.#memory.get(engine)?.delete(job.id);
		}

		this.#publish(host, load => {
			load.end(job.id, this.#timeline.now);
		});
	}

	#take(engine: string, job: string, tokens: number): void {
		const memory = this.#memory.get(engine) ?? new Map<string, number>();
		this.#memory.set(engine, memory.set(job, tokens));
	}

	/** Sends a request. One without reservations waits at its engine until there is memory. */
	#send(sent: Sent): void {
		const {demand, host, job, plan} = sent;
		host.queue.leave(demand.id);
		const tokens = footprint(fleetModel, demand.prompt!.tokens, demand.prompt!.answer);
		if (plan.type === 'none' && this.#usedAt(job.upstream) + tokens > fleetModel.memory) {
			this.overruns.set(job.id, tokens);
			this.#timeline.schedule(this.#timeline.now + checkIntervalMs, () => {
				this.#send(sent);
			});
			return;
		}

		if (plan.type === 'none') {
			this.#take(job.upstream, job.id, tokens);
		}

		this.#run(sent);
	}

	#run({kind, demand, host, job}: Sent): void {
		const {now} = this.#timeline;
		const {tokens, answer} = demand.prompt!;
		const engines = [job.upstream, ...job.helpers];
		const {total} = estimatePrefill(fleetModel, tokens, engines.length);
		let firstByte = 0;
		for (const engine of engines) {
			const end = Math.max(this.#prefillUntil.get(engine) ?? 0, now) + total;
			this.#prefillUntil.set(engine, end);
			firstByte = Math.max(firstByte, end);
		}

		this.#conclude(kind, demand, firstByte <= demand.due ? 'served' : 'late');
		this.#timeline.schedule(firstByte, () => {
			this.#publish(host, load => {
				load.recordFirstByte(job.id, this.#timeline.now);
			});
		});
		const decode = answer * (0.3 + (this.#uniform() * 0.7)) * (fleetModel.step + (fleetModel.perThousand * 40));
		this.#timeline.schedule(firstByte + decode, () => {
			this.#end(host, job);
		});
	}
}

type Sent = {
	readonly kind: Kind;
	readonly demand: Demand;
	readonly host: Host;
	readonly job: Job;
	readonly placement: Placement;
	readonly plan: ReservationPlan;
};
