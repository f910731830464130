/**
 * Requests of this host that wait for KV memory, and the memory that hosts keep for their first one. Hosts announce it with their load
 * updates; a claim that is not renewed lapses, so that a host that dies or is cut off keeps no memory from others.
 */
import {estimatePrefill, footprint} from '../../core/gateway/engines/engine.js';
import {computeLatestStart, findUsualParts} from '../../core/gateway/engines/latest-start.js';
import {type Load} from '../../core/gateway/engines/load.js';
import {
	compareTurns, decideWait, limitMemory, subtractClaims, type MemoryClaim, type MemoryDecision, type MemoryDemand, type MemoryPlan,
} from '../../core/gateway/engines/memory-admission.js';
import {forecastMemory} from '../../core/gateway/engines/memory-forecast.js';
import {estimateUnknownMemory} from '../../core/gateway/engines/memory-reservation.js';
import {defaultPolicy} from '../../core/gateway/placement/policy.js';
import {type Demand, type EngineModel, type Prompt} from '../../core/gateway/types.js';

/** Requests that may wait at one host. Their bodies stay in memory, and those of the longest prompts have megabytes. */
const maxWaiting = 16;

/** Claims of other hosts that are kept. */
const maxClaims = 64;

/** Time after which a claim lapses, and the interval in which it is planned and announced again. */
const claimLifetimeMs = 1000;
const claimIntervalMs = 300;

/** Longest time for which memory is kept for one request: its forecast may be wrong, and others wait meanwhile. */
const maxClaimMs = 4000;

/**
 * Time between the attempts of waiting requests, by their order: all learn of free memory at the same time, and the next one should know what
 * the one before has taken: its reservations take up to 30 ms, and load updates 60 ms. The longest such delay, so that requests behind many others also use memory that those can't.
 */
const turnSpacingMs = 100;
const maxTurnDelayMs = 800;

/**
 * Time after a refused reservation for which the engine's free memory counts as none: by then the load updates that explain it have arrived.
 * It doubles with each further refusal up to the longest one, as nobody reports the memory that a dead host holds until its lease ends.
 */
const refusalMs = 150;
const maxRefusalMs = 1200;

/** Time without a refusal after which the next one counts as the first. */
const refusalRetentionMs = 2000;

export type MemoryQueueOptions = {
	readonly self: string;
	/** Name of this host. */
	readonly host: string;
	readonly load: Load;
	readonly now: () => number;
	/** Announces a claim of this host; one without engines is withdrawn. */
	readonly publish: (claim: MemoryClaim) => void;
};

type Waiter = {
	readonly demand: MemoryDemand;
	/** First time at which memory was kept for the request, in milliseconds. */
	claimedSince?: number;
};

/** Times are in milliseconds. */
type Refusal = {
	/** Until when the memory of the engine counts as none. */
	readonly until: number;
	readonly duration: number;
};

type OwnClaim = {
	readonly claim: MemoryClaim;
	readonly renewAt: number;
};

/** Returns when a request that is sent now will probably have ended, on the clock of `now`. */
function estimateEnd(model: EngineModel, {tokens, answer}: Prompt, now: number): number {
	const decode = Math.min(answer, model.usualAnswer * 2) * (model.step + (model.perRequest * model.slots));
	return now + estimatePrefill(model, tokens).total + decode;
}

/** Returns whether memory may still be kept for a request. */
function mayClaim({claimedSince}: Waiter, now: number): boolean {
	return claimedSince === undefined || now - claimedSince <= maxClaimMs;
}

export class MemoryQueue {
	readonly #options: MemoryQueueOptions;
	readonly #waiting = new Map<string, Waiter>();
	/** Claims of other hosts, by id. */
	readonly #claims = new Map<string, MemoryClaim>();
	/** Engines that refused a reservation. */
	readonly #refusals = new Map<string, Refusal>();
	#ownClaim: OwnClaim | undefined;

	/**
	 * @param options - Forecast, clock and connection to the other hosts.
	 */
	constructor(options: MemoryQueueOptions) {
		this.#options = options;
	}

	/** Number of requests that wait. */
	get size(): number {
		return this.#waiting.size;
	}

	/** Claims of all hosts that are in force. */
	get claims(): readonly MemoryClaim[] {
		const now = this.#options.now();
		const own = this.#ownClaim === undefined ? [] : [this.#ownClaim.claim];
		return [...own, ...this.#claims.values()].filter(claim => claim.expires > now);
	}

	/**
	 * @param model - Performance model of the engines.
	 * @param prompt - Size of a request.
	 * @returns Whether the request may wait for memory: it, or one that runs or waits, needs more than one engine has, or an engine refused memory
	 * lately.
	 */
	isContended(model: EngineModel, prompt: Prompt): boolean {
		return footprint(model, prompt.tokens, prompt.answer) > model.memory
			|| this.#waiting.size > 0 || this.claims.length > 0 || this.#refusals.size > 0
			|| this.#options.load.all.some(job => job.isHeld && footprint(model, job.prompt, job.answer) > model.memory);
	}

	/**
	 * Decides about a request that has found no placement, or not found one again.
	 *
	 * @param demand - Request.
	 * @param prompt - Its size.
	 * @param model - Performance model of the engines.
	 * @param engines - Ids of the engines that it may use.
	 * @returns Whether it waits or is refused.
	 */
	consider(demand: Demand, prompt: Prompt, model: EngineModel, engines: readonly string[]): MemoryDecision {
		const {load, now} = this.#options;
		const {maxParts} = defaultPolicy;
		const isWaiting = this.#waiting.has(demand.id);
		const waiter = this.#waiting.get(demand.id) ?? {demand: this.#createDemand(demand, prompt, model)};
		if (!isWaiting && this.#waiting.size >= maxWaiting) {
			return {type: 'refused', wait: undefined};
		}

		const claims = this.#findClaimsBefore(waiter.demand);
		const memories = engines.map(engine => subtractClaims(forecastMemory(engine, model, load, now()), claims, model, now()));
		const usualParts = findUsualParts(model, demand, prompt, maxParts);
		const decision = decideWait(waiter.demand, {
			model,
			engines: memories,
			maxParts,
			unknownMemory: this.estimateUnknownMemory(model, engines),
			isWaiting,
			findLatestStart: parts => computeLatestStart(model, demand, prompt, Math.min(parts, usualParts)),
		}, now());
		if (decision.type === 'refused') {
			this.leave(demand.id);
			return decision;
		}

		this.#waiting.set(demand.id, waiter);
		this.#claim(waiter, decision.plan, model);
		return decision;
	}

	/**
	 * @param model - Performance model of the engines.
	 * @param engines - Ids of the engines of a service.
	 * @returns Tokens at one engine that other hosts may take before this host knows of it.
	 */
	estimateUnknownMemory(model: EngineModel, engines: readonly string[]): number {
		return estimateUnknownMemory(this.#options.load, engines, model, this.#options.host);
	}

	/**
	 * @param request - Waiting request.
	 * @returns Milliseconds for which it leaves memory that has just become free to those that are first.
	 */
	computeTurnDelay(request: string): number {
		const waiter = this.#waiting.get(request);
		return waiter === undefined ? 0 : Math.min(this.#findClaimsBefore(waiter.demand).length * turnSpacingMs, maxTurnDelayMs);
	}

	/**
	 * @param request - Request that has been placed or given up.
	 */
	leave(request: string): void {
		const waiter = this.#waiting.get(request);
		this.#waiting.delete(request);
		if (waiter !== undefined && this.#ownClaim?.claim.id === waiter.demand.id) {
			this.#withdraw();
		}
	}

	/**
	 * @param demand - Request that is about to be placed.
	 * @param model - Performance model of the engines.
	 * @returns Limits an engine's free memory to what the request may take; undefined if nothing is kept from it.
	 */
	createLimit(demand: Demand, model: EngineModel): ((upstream: string, free: number) => number) | undefined {
		const {load, now} = this.#options;
		const {prompt} = demand;
		this.#removeExpired();
		if (prompt === undefined || (this.#claims.size === 0 && this.#ownClaim === undefined && this.#refusals.size === 0)) {
			return undefined;
		}

		const claims = this.#findClaimsBefore(this.#waiting.get(demand.id)?.demand ?? this.#createDemand(demand, prompt, model));
		const claimed = new Set(claims.flatMap(claim => claim.engines));
		const end = estimateEnd(model, prompt, now());
		return (upstream, free) => {
			if ((this.#refusals.get(upstream)?.until ?? 0) > now()) {
				return 0;
			}

			return claimed.has(upstream) ? limitMemory({...forecastMemory(upstream, model, load, now()), free}, claims, end, now()) : free;
		};
	}

	/**
	 * @param upstream - Engine that refused a reservation although its memory was forecast to be free.
	 */
	noteRefusal(upstream: string): void {
		const before = this.#refusals.get(upstream)?.duration;
		const duration = before === undefined ? refusalMs : Math.min(before * 2, maxRefusalMs);
		this.#refusals.set(upstream, {until: this.#options.now() + duration, duration});
	}

	/**
	 * @param claim - Claim of another host; one without engines is withdrawn.
	 */
	applyClaim(claim: MemoryClaim): void {
		this.#removeExpired();
		if (claim.engines.length === 0) {
			this.#claims.delete(claim.id);
		} else if (this.#claims.has(claim.id) || this.#claims.size < maxClaims) {
			this.#claims.set(claim.id, {...claim, expires: Math.min(claim.expires, this.#options.now() + claimLifetimeMs)});
		}
	}

	#createDemand(demand: Demand, prompt: Prompt, model: EngineModel): MemoryDemand {
		return {
			id: `${this.#options.self}/${demand.id}`,
			tokens: footprint(model, prompt.tokens, prompt.answer),
			priority: demand.priority,
			arrived: demand.arrived,
			latestStart: computeLatestStart(model, demand, prompt, findUsualParts(model, demand, prompt, defaultPolicy.maxParts)),
		};
	}

	/** Keeps memory for the first waiting request of this host if it is large; its engines are planned anew at intervals only. */
	#claim(waiter: Waiter, plan: MemoryPlan, model: EngineModel): void {
		const now = this.#options.now();
		const {demand} = waiter;
		const isFirst = [...this.#waiting.values()].every(each => each === waiter || !mayClaim(each, now) || compareTurns(demand, each.demand, now) < 0);
		if (!isFirst || demand.tokens <= model.memory / 2) {
			return;
		}

		if (!mayClaim(waiter, now)) {
			if (this.#ownClaim?.claim.id === demand.id) {
				this.#withdraw();
			}

			return;
		}

		if (this.#ownClaim !== undefined && this.#ownClaim.claim.id !== demand.id) {
			this.#withdraw();
		}

		waiter.claimedSince ??= now;

		if (this.#ownClaim === undefined || this.#ownClaim.renewAt <= now) {
			const claim = {
				...demand, engines: plan.engines, partTokens: plan.partTokens, expected: now + plan.wait, expires: now + claimLifetimeMs,
			};
			this.#ownClaim = {claim, renewAt: now + claimIntervalMs};
			this.#options.publish(claim);
		}
	}

	#withdraw(): void {
		if (this.#ownClaim !== undefined) {
			this.#options.publish({...this.#ownClaim.claim, engines: []});
			this.#ownClaim = undefined;
		}
	}

	#findClaimsBefore(demand: MemoryDemand): readonly MemoryClaim[] {
		const now = this.#options.now();
		return this.claims.filter(claim => claim.id !== demand.id && compareTurns(claim, demand, now) < 0);
	}

	#removeExpired(): void {
		const now = this.#options.now();
		for (const [id, claim] of this.#claims) {
			if (claim.expires <= now) {
				this.#claims.delete(id);
			}
		}

		for (const [upstream, {until}] of this.#refusals) {
			if (until + refusalRetentionMs <= now) {
				this.#refusals.delete(upstream);
			}
		}
	}
}
