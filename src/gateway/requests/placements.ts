/** Placements of requests at upstreams, and their jobs, from what this host knows of upstreams, load and peers. */
import {type MemoryDecision} from '../../core/gateway/engines/memory-admission.js';
import {isLarge, planReservation, type ReservationPlan} from '../../core/gateway/engines/memory-reservation.js';
import {estimateDecoding} from '../../core/gateway/engines/forecast.js';
import {type Job, type Load, type PlacementKind} from '../../core/gateway/engines/load.js';
import {PaceSampler} from '../../core/gateway/engines/pace-sampler.js';
import {type ShortPrefills} from '../../core/gateway/engines/short-prefills.js';
import {computeWeight} from '../../core/gateway/engines/losses.js';
import {
	findUsable, place, reevaluate, substitute, type Placement, type Reevaluation, type PlacementOptions,
} from '../../core/gateway/placement/placement.js';
import {defaultPolicy} from '../../core/gateway/placement/policy.js';
import {type Eligibility} from '../../core/gateway/placement/attempts.js';
import {type Preference} from '../../core/gateway/placement/preference.js';
import {
	computeShortestWait, countObstacles, type Obstacle, type ObstacleFinder,
} from '../../core/gateway/placement/eligibility.js';
import {isEngineOf, type HostGroup} from '../../core/gateway/registry/host-groups.js';
import {type Demand, type EngineModel, type GatewayService} from '../../core/gateway/types.js';
import {type OrganisationShares, type CountedShare} from '../organisations/organisation-shares.js';
import {type Registrations} from '../upstreams/registrations.js';
import {type Reputation} from '../upstreams/reputation.js';
import {type Upstreams} from '../upstreams/upstreams.js';
import {type MemoryQueue} from './memory-queue.js';

export type PlacementsOptions = {
	/** Name of this host. */
	readonly host: string;
	readonly failureDomain: string;
	/** Unique name of this run of the process. */
	readonly incarnation: string;
	readonly now: () => number;
	readonly upstreams: Upstreams;
	readonly registrations: Registrations;
	readonly reputation: Reputation;
	readonly load: Load;
	/** Prefills of short prompts that this host has measured lately. */
	readonly shortPrefills: ShortPrefills;
	readonly memoryQueue: MemoryQueue;
	readonly shares: OrganisationShares;
	/** Returns the configuration of a service, if it is known. */
	readonly findService: (name: string) => GatewayService | undefined;
	/** Finds what keeps an upstream from accepting a request of this host at present. */
	readonly findObstacle: ObstacleFinder;
	/** Returns the group of this host; undefined if it receives the jobs at all engines. */
	readonly findGroup: () => HostGroup | undefined;
	/** Returns the engines of a service that are left to suspected requests. */
	readonly listAvoided: (service: string, isInterrupted: boolean) => ReadonlySet<string>;
	/** Publishes a job of this host. */
	readonly begin: (job: Job) => void;
};

export class Placements {
	readonly #options: PlacementsOptions;
	#jobCount = 0;

	constructor(options: PlacementsOptions) {
		this.#options = options;
	}

	/**
	 * @param demand - Demand of the request.
	 * @param eligibility - Upstreams that the request may go to.
	 * @returns Placement of the request, if there is one.
	 */
	place(demand: Demand, eligibility: Eligibility): Placement | undefined {
		return place(demand, this.#options.upstreams.listByService(demand.service), this.#options.findService(demand.service)?.engine, this.#buildPlacementOptions(eligibility, demand));
	}

	/**
	 * @param demand - Demand of a request.
	 * @param placement - Its placement.
	 * @returns Milliseconds until its answer is expected to be complete; undefined for plain services.
	 */
	estimateAnswerTime({service, prompt}: Demand, {upstream, firstByte}: Placement): number | undefined {
		const {findService, load, now} = this.#options;
		const model = findService(service)?.engine;
		return model === undefined || prompt === undefined ? undefined : firstByte + estimateDecoding(model, load.forecast(upstream.id, model, now()), prompt);
	}

	/**
	 * @param placement - Placement with reservations at several engines.
	 * @param refusing - Id of the engine that refused its reservation.
	 * @param demand - Request.
	 * @param eligibility - Upstreams that the request may go to.
	 * @returns The placement with another engine instead, if one has the memory.
	 */
	substitute(placement: Placement, refusing: string, demand: Demand, eligibility: Eligibility): Placement | undefined {
		const model = this.#options.findService(demand.service)?.engine;
		return model === undefined
			? undefined
			: substitute(placement, refusing, demand, model, this.#options.upstreams.listByService(demand.service), this.#buildPlacementOptions(eligibility, demand));
	}

	/**
	 * @param demand - Request whose job has not begun.
	 * @param placement - Its placement.
	 * @returns Where its memory is reserved before it is sent.
	 */
	planReservation({service, prompt}: Demand, placement: Placement): ReservationPlan {
		const {findService, load, host, now} = this.#options;
		const model = findService(service)?.engine;
		return model === undefined || prompt === undefined
			? {type: 'none'}
			: planReservation(prompt, placement, {
				model, load, engines: this.#listEngines(service), host, now: now(),
			});
	}

	/**
	 * @param demand - Request.
	 * @returns Whether it may wait for memory: it, or another one that runs or waits, needs more than one engine has.
	 */
	mayWaitForMemory({service, prompt}: Demand): boolean {
		const model = this.#options.findService(service)?.engine;
		return model !== undefined && prompt !== undefined && this.#options.memoryQueue.isContended(model, prompt);
	}

	/**
	 * @param demand - Request without a placement.
	 * @param eligibility - Upstreams that the request may go to.
	 * @returns Whether it waits for memory; undefined if it lacks something else.
	 */
	considerMemory(demand: Demand, eligibility: Eligibility): MemoryDecision | undefined {
		const {service, prompt} = demand;
		const model = this.#options.findService(service)?.engine;
		if (model === undefined || prompt === undefined || !this.mayWaitForMemory(demand)) {
			return undefined;
		}

		const usable = findUsable(this.#options.upstreams.listByService(service), this.#buildPlacementOptions(eligibility, demand));
		const canAnswer = usable.some(each => eligibility.permitted?.has(each.id) ?? true);
		return canAnswer ? this.#options.memoryQueue.consider(demand, prompt, model, usable.map(each => each.id)) : undefined;
	}

	/**
	 * @param placement - Placement of a request that has not been sent yet.
	 * @returns Ids of its upstream and helpers whose failure domains have been evacuated since.
	 */
	findEvacuated({upstream, helpers}: Placement): readonly string[] {
		return [upstream, ...helpers].filter(each => this.#options.registrations.isEvacuated(each.failureDomain)).map(({id}) => id);
	}

	/** Number of known requests, of any host, that still run at upstreams of evacuated failure domains. */
	get evacuatedJobCount(): number {
		if (this.#options.registrations.evacuatedDomains.length === 0) {
			return 0;
		}

		let count = 0;
		for (const {id, failureDomain} of this.#options.upstreams.all) {
			count += this.#options.registrations.isEvacuated(failureDomain) ? this.#options.load.countRequests(id) : 0;
		}

		return count;
	}

	/**
	 * @param service - Service.
	 * @param eligibility - Upstreams that the request may go to.
	 * @returns Milliseconds until one of these accepts requests again; undefined if all that are left are leaving.
	 */
	computeWait(service: string, eligibility: Eligibility): number | undefined {
		return computeShortestWait(this.#options.upstreams.listByService(service), eligibility, this.#options.findObstacle);
	}

	/**
	 * @param service - Service.
	 * @returns Number of its upstreams by what keeps them from accepting a request at present, for the log.
	 */
	countObstacles(service: string): Readonly<Partial<Record<Obstacle['type'], number>>> {
		return countObstacles(this.#options.upstreams.listByService(service), this.#options.findObstacle);
	}

	/**
	 * @param demand - Demand of a request that was sent a moment ago.
	 * @param current - Its current placement.
	 * @param job - Id of its job.
	 * @param eligibility - Upstreams that the request may go to.
	 * @returns Its expected loss where it is and at the best other placement; undefined for plain services.
	 */
	reevaluate(demand: Demand, current: Placement, job: string, eligibility: Eligibility): Reevaluation | undefined {
		const {findService, upstreams} = this.#options;
		const options = {...this.#buildPlacementOptions(eligibility, demand), excludedJob: job};
		return reevaluate(demand, current, upstreams.listByService(demand.service), findService(demand.service)?.engine, options);
	}

	/**
	 * Creates the job of a request that is being sent and publishes it to peers.
	 *
	 * @param demand - Demand of the request.
	 * @param placement - Placement of the request.
	 * @param placing - Whether the request is sent for the first time, after failed connections only, or as a retry.
	 * @param share - Share that its use counts toward, if it has not been counted before.
	 * @returns The job.
	 */
	beginJob(demand: Demand, placement: Placement, placing: PlacementKind, share?: CountedShare): Job {
		const now = this.#options.now();
		const model = this.#options.findService(demand.service)?.engine;
		this.#jobCount++;
		const job: Job = {
			id: `${this.#options.incarnation}.${this.#jobCount}`,
			host: this.#options.host,
			upstream: placement.upstream.id,
			helpers: placement.helpers.map(each => each.id),
			prompt: demand.prompt?.tokens ?? 0,
			answer: demand.prompt?.answer ?? 0,
			isHeld: placement.holdTokens > 0,
			read: placement.prefill.total,
			readPerPass: placement.prefill.perIteration,
			pause: demand.pause,
			urgency: placement.urgency,
			weight: model === undefined || demand.prompt === undefined ? 1 : computeWeight(model, demand.prompt),
			placing,
			organisation: share?.organisation,
			isDelayed: share !== undefined && (share.hasWaited || this.#options.shares.isDelayed(demand, placement)) ? true : undefined,
			began: now,
			due: demand.due,
			deadline: demand.deadline,
		};
		this.#options.begin(job);
		return job;
	}

	/**
	 * @param upstream - Id of an engine.
	 * @returns Milliseconds that an engine iteration may take now, forecast from the known prefill and decode load; 0 for plain services.
	 */
	forecastIterationTime(upstream: string): number {
		const model = this.#findModel(upstream);
		if (model === undefined) {
			return 0;
		}

		const {iteration: iterationTime, prefilling, pace} = this.#options.load.forecast(upstream, model, this.#options.now());
		let prefill = 0;
		for (const job of prefilling) {
			prefill += job.readPerPass / pace.prefill;
		}

		return iterationTime + prefill;
	}

	/**
	 * @param demand - Demand of a request that is being sent.
	 * @param placement - Its placement.
	 * @param job - Id of its job.
	 * @returns Measures the pace of its engine; undefined for plain services, and at engines whose jobs this host doesn't all know.
	 */
	createPaceSampler({prompt, service}: Demand, placement: Placement, job: string): PaceSampler | undefined {
		const model = this.#options.findService(service)?.engine;
		return model === undefined || prompt === undefined || !this.#isInGroup(placement.upstream.id)
			? undefined
			: new PaceSampler({
				load: this.#options.load, shortPrefills: this.#options.shortPrefills, model, prompt, placement, job, sent: this.#options.now(),
			});
	}

	#buildPlacementOptions(eligibility: Eligibility, demand: Demand): PlacementOptions {
		const now = this.#options.now();
		const model = this.#options.findService(demand.service)?.engine;
		this.#options.reputation.updateReachability(now);
		return {
			policy: defaultPolicy,
			load: this.#options.load,
			health: this.#options.reputation.health,
			host: this.#options.host,
			failureDomain: this.#options.failureDomain,
			unreachable: this.#options.reputation.unreachableDomains,
			findObstacle: this.#options.findObstacle,
			eligibility,
			preference: this.#createPreference(demand.service, eligibility.excluded.size > 0),
			limitMemory: model === undefined ? undefined : this.#options.memoryQueue.createLimit(demand, model),
			unknownMemory: model !== undefined && isLarge(model, demand.prompt) ? this.#options.memoryQueue.estimateUnknownMemory(model, this.#listEngines(demand.service)) : undefined,
			now,
		};
	}

	/**
	 * Engines of this host's group are preferred for all prompts: of the others, only the long jobs are known. Engines with suspected requests
	 * are avoided, as they may crash.
	 */
	#createPreference(service: string, isInterrupted: boolean): Preference | undefined {
		const avoided = this.#options.listAvoided(service, isInterrupted);
		if (this.#options.findGroup() !== undefined) {
			return {reason: 'group', prefers: upstream => this.#isInGroup(upstream) && !avoided.has(upstream)};
		}

		return avoided.size === 0 ? undefined : {reason: 'suspicion', prefers: upstream => !avoided.has(upstream)};
	}

	#isInGroup(engine: string): boolean {
		const group = this.#options.findGroup();
		return group === undefined || isEngineOf(engine, group);
	}

	#listEngines(service: string): readonly string[] {
		return this.#options.upstreams.listByService(service).map(({id}) => id);
	}

	#findModel(upstream: string): EngineModel | undefined {
		return this.#options.findService(this.#options.upstreams.get(upstream)?.service ?? '')?.engine;
	}
}
