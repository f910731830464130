/**
 * Decides about requests that find no placement because engines lack free KV memory: which one waits and until when, which is refused, and
 * which memory is kept for a large one. Without it, prompts of several engines are refused while short ones take each part that becomes
 * free: an engine rarely has a third of its memory free at a time when two others do.
 */
import {type EngineModel} from '../types.js';
import {computePartMemory, estimatePrefill} from './engine.js';
import {estimateFreeMemory, type EngineMemory} from './memory-forecast.js';

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

export type MemoryDecision
	/** The request waits; the memory of the plan is expected to be its own. */
	= | {readonly type: 'wait'; readonly plan: MemoryPlan}
	/** The memory will not be free in time; it may be after `wait` milliseconds, if that is known. */
		| {readonly type: 'refused'; readonly wait: number | undefined};

/** Ranks that one step of priority is worth, of those between the arrival of a request and its latest start. */
const priorityRanks = 5;
const ranksPerWait = 20;

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

/** Returns the fewest engines that have the memory together after a wait, those with the most free memory first. */
function findEngines(tokens: number, model: EngineModel, engines: readonly EngineMemory[], maxParts: number, wait: number): MemoryPlan | undefined {
	const ranked = engines.map(engine => ({upstream: engine.upstream, free: estimateFreeMemory(engine, wait)})).toSorted((a, b) => b.free - a.free);
	for (let parts = 1; parts <= Math.min(maxParts, ranked.length); parts++) {
		const partTokens = computePartMemory(model, tokens, parts);
		if (ranked[parts - 1]!.free >= partTokens) {
			return {engines: ranked.slice(0, parts).map(each => each.upstream), partTokens, wait};
		}
	}

	return undefined;
}

/**
 * @param tokens - KV memory in tokens that a request needs in all.
 * @param model - Performance model of the engines.
 * @param engines - Memory of the engines that it may use.
 * @param maxParts - Largest number of engines that share a prompt.
 * @returns The engines that are the first to have the memory; undefined if it will not be free, as far as is known.
 */
export function planMemory(tokens: number, model: EngineModel, engines: readonly EngineMemory[], maxParts: number): MemoryPlan | undefined {
	const waits = [0, ...engines.flatMap(engine => engine.releases.map(release => release.wait))].toSorted((a, b) => a - b);
	// Free memory only grows with the wait, so that the shortest sufficient one is found by bisection.
	let low = 0;
	let high = waits.length - 1;
	let best = findEngines(tokens, model, engines, maxParts, waits[high]!);
	while (best !== undefined && low < high) {
		const middle = Math.floor((low + high) / 2);
		const plan = findEngines(tokens, model, engines, maxParts, waits[middle]!);
		if (plan === undefined) {
			low = middle + 1;
		} else {
			best = plan;
			high = middle;
		}
	}

	return best;
}

/**
 * @param demand - Request without a placement.
 * @param model - Performance model of the engines.
 * @param engines - Memory of the engines that it may use, without what is kept for requests that are first.
 * @param maxParts - Largest number of engines that share a prompt.
 * @param now - Time.
 * @returns Whether it waits for memory or is refused.
 */
export function decideWait(demand: MemoryDemand, model: EngineModel, engines: readonly EngineMemory[], maxParts: number, now: number): MemoryDecision {
	const plan = planMemory(demand.tokens, model, engines, maxParts);
	if (plan === undefined || now + plan.wait > demand.latestStart) {
		return {type: 'refused', wait: plan?.wait};
	}

	return {type: 'wait', plan};
}
