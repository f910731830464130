/**
 * Decides about requests that find no placement because engines lack free KV memory: which one waits and until when, which is refused, and
 * which memory is kept for a large one. Without it, prompts of several engines are refused while short ones take each part that becomes
 * free: an engine rarely has a third of its memory free at a time when two others do.
 */
import {type EngineModel} from '../types.js';
import {computePartMemory, estimatePrefill} from './engine.js';
import {estimateFreeMemory, type EngineMemory} from './memory-forecast.js';
import {computeMargin, computeRequiredMemory} from './memory-reservation.js';

/** A request that waits for memory. Times are monotonic, in milliseconds. */
export type MemoryDemand = {
	readonly id: string;
	/** KV memory in tokens that it needs in all. */
	readonly tokens: number;
	/** Priority of its organisation or route; 0 is first. */
	readonly priority: number;
	readonly arrived: number;
	/** Last time at which it can be sent and still meet its latency target. */
	readonly latestStart: number;
};

/** Memory that is kept for a waiting request of this host or of another one. */
export type MemoryClaim = MemoryDemand & {
	readonly engines: readonly string[];
	/** Tokens at each of these engines. */
	readonly partTokens: number;
	/** When the memory is expected to be free. */
	readonly expected: number;
	/** When the claim lapses unless it is renewed. */
	readonly expires: number;
};

/** Engines that are the first to have the memory for a request together. */
export type MemoryPlan = {
	readonly engines: readonly string[];
	/** Tokens at each of these engines. */
	readonly partTokens: number;
	/** Milliseconds until the memory is free. */
	readonly wait: number;
};

/** Engines that a request may use, and until when. */
export type PlanningInput = {
	/** Performance model of the engines. */
	readonly model: EngineModel;
	/** Their memory without what is kept for requests that are first. */
	readonly engines: readonly EngineMemory[];
	/** Largest number of engines that share a prompt. */
	readonly maxParts: number;
	/** Tokens at one engine that other hosts may take before this host knows of it. */
	readonly unknownMemory: number;
	/** Whether the request waits already. */
	readonly isWaiting: boolean;
	/** Finds the last time at which the request can be sent to a number of engines: more of them prefill it faster. */
	readonly findLatestStart: (parts: number) => number;
};

export type MemoryDecision
	/** The request waits; the memory of the plan is expected to be its own. */
	= | {readonly type: 'wait'; readonly plan: MemoryPlan}
	/** The memory will not be free in time; it may be after `wait` milliseconds, if that is known. */
		| {readonly type: 'refused'; readonly wait: number | undefined};

/** Ranks that one step of priority is worth, of those between the arrival of a request and its latest start. */
const priorityRanks = 5;
const ranksPerWait = 20;

/**
 * Factor by which the forecast wait of a request that doesn't wait yet may be exceeded, as requests that arrive later take a part of the memory.
 * A request that would probably be refused after a long wait is refused at once.
 */
const newcomerUncertainty = 2.5;

/** Returns the rank of a request: it grows as its time runs out. */
function rankOf({arrived, latestStart, priority}: MemoryDemand, now: number): number {
	const usedShare = Math.max(now - arrived, 0) / Math.max(latestStart - arrived, 1);
	return Math.floor(Math.min(usedShare, 1) * ranksPerWait) - (priority * priorityRanks);
}

/**
 * Orders waiting requests by the share of their time that they have used and by priority, then the largest first: it needs the most memory
 * at once, and gets it the least often.
 *
 * @param a - Request.
 * @param b - Request.
 * @param now - Time.
 * @returns Negative if `a` is first, positive if `b` is.
 */
export function compareTurns(a: MemoryDemand, b: MemoryDemand, now: number): number {
	return rankOf(b, now) - rankOf(a, now) || b.tokens - a.tokens || (a.id < b.id ? -1 : 1);
}

/**
 * @param engine - Memory of an engine.
 * @param claims - Claims of requests that are first.
 * @param model - Performance model of the engine.
 * @param now - Time.
 * @returns The memory without what is kept for these requests, and with its release once they have been served.
 */
export function subtractClaims(engine: EngineMemory, claims: readonly MemoryClaim[], model: EngineModel, now: number): EngineMemory {
	let {free} = engine;
	const releases = [...engine.releases];
	for (const {engines, expected, tokens, partTokens} of claims.filter(claim => claim.engines.includes(engine.upstream))) {
		const duration = estimatePrefill(model, tokens, engines.length).total + (model.usualAnswer * model.step);
		free -= partTokens;
		releases.push({wait: Math.max(expected - now, 0) + duration, tokens: partTokens});
	}

	return {...engine, free, releases: releases.toSorted((a, b) => a.wait - b.wait)};
}

/**
 * Limits the memory that a request may take now. It may use claimed memory if it ends before the claim needs it, or if enough is left then.
 *
 * @param engine - Memory of an engine.
 * @param claims - Claims of requests that are first.
 * @param end - Time at which the request is expected to end.
 * @param now - Time.
 * @returns Tokens that the request may take.
 */
export function limitMemory(engine: EngineMemory, claims: readonly MemoryClaim[], end: number, now: number): number {
	let {free} = engine;
	let claimed = 0;
	for (const claim of claims.filter(each => each.engines.includes(engine.upstream) && each.expected <= end)) {
		claimed += claim.partTokens;
		free = Math.min(free, estimateFreeMemory(engine, Math.max(claim.expected - now, 0)) - claimed);
	}

	return free;
}

/** Engines by the memory that is free there after a wait, the most first. */
type RankedEngines = ReadonlyArray<{readonly upstream: string; readonly free: number; readonly backlog: number}>;

/** Free memory of engines after each of the waits at which more of it becomes free. */
class FreeMemoryTimeline {
	/** Waits in milliseconds, the shortest first. */
	readonly waits: readonly number[];
	readonly #engines: readonly EngineMemory[];
	readonly #ranked = new Map<number, RankedEngines>();

	constructor(engines: readonly EngineMemory[]) {
		this.#engines = engines;
		this.waits = [...new Set([0, ...engines.flatMap(engine => engine.releases.map(release => release.wait))])].toSorted((a, b) => a - b);
	}

	/** Returns the engines after the wait with this index. */
	rank(index: number): RankedEngines {
		const known = this.#ranked.get(index);
		if (known !== undefined) {
			return known;
		}

		const ranked = this.#engines.map(engine => ({...engine, free: estimateFreeMemory(engine, this.waits[index]!)})).toSorted((a, b) => b.free - a.free);
		this.#ranked.set(index, ranked);
		return ranked;
	}

	/**
	 * Returns the index of the shortest wait, among the first ones, after which several engines each have some memory free. Free memory only grows
	 * with the wait, so that it is found by bisection.
	 */
	findFirst(parts: number, tokens: number, count: number): number | undefined {
		const isEnough = (index: number) => this.rank(index)[parts - 1]!.free >= tokens;
		let low = 0;
		let high = count - 1;
		if (high < 0 || !isEnough(high)) {
			return undefined;
		}

		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (isEnough(middle)) {
				high = middle;
			} else {
				low = middle + 1;
			}
		}

		return low;
	}
}

/** Finds the fewest engines that are the first to have the memory, among those whose wait is accepted. */
function planMemory(tokens: number, {model, engines, maxParts, unknownMemory}: PlanningInput, isInTime: (wait: number, parts: number) => boolean): MemoryPlan | undefined {
	const timeline = new FreeMemoryTimeline(engines);
	const maxUsedParts = Math.min(maxParts, engines.length);
	const margin = computeMargin(model, tokens, maxUsedParts, unknownMemory);
	let count = timeline.waits.length;
	let best: MemoryPlan | undefined;
	for (let parts = 1; parts <= maxUsedParts; parts++) {
		const partTokens = computePartMemory(model, tokens, parts);
		// Only shorter waits are better than that of fewer engines.
		const index = timeline.findFirst(parts, parts === 1 ? partTokens : computeRequiredMemory(model, partTokens, margin), count);
		if (index === undefined) {
			continue;
		}

		const wait = timeline.waits[index]!;
		const chosen = timeline.rank(index).slice(0, parts);
		if (isInTime(Math.max(wait, ...chosen.map(each => each.backlog)), parts)) {
			count = index;
			best = {engines: chosen.map(each => each.upstream), partTokens, wait};
		}
	}

	return best;
}

/**
 * @param demand - Request without a placement.
 * @param input - Engines that it may use, and until when.
 * @param now - Time.
 * @returns Whether it waits for memory or is refused.
 */
export function decideWait({tokens}: MemoryDemand, input: PlanningInput, now: number): MemoryDecision {
	const uncertainty = input.isWaiting ? 1 : newcomerUncertainty;
	const plan = planMemory(tokens, input, (wait, parts) => now + (wait * uncertainty) <= input.findLatestStart(parts));
	return plan === undefined
		? {type: 'refused', wait: planMemory(tokens, input, () => true)?.wait}
		: {type: 'wait', plan};
}
