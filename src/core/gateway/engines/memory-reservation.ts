/**
 * Decides where the memory of a prompt is reserved before it is sent. Hosts learn of each other's placements 50 to 100 ms late: two that place
 * large prompts at the same engine meanwhile would exceed its memory, and the engine would preempt a stream or crash.
 */
import {type EngineModel, type Prompt} from '../types.js';
import {computePartMemory, footprint} from './engine.js';
import {memoryAt, type Job, type Load} from './load.js';

export type ReservationPlan
	= | {readonly type: 'none'}
	/** No engine has the memory alone: even parts of `tokens` at the upstream and all helpers. */
		| {readonly type: 'split'; readonly tokens: number}
	/** Other hosts may take the tokens that are left at the upstream before they know of the request: all of it there; helpers only prefill. */
		| {readonly type: 'contested'; readonly tokens: number; readonly left: number; readonly margin: number};

/** A plan with a reservation; its type is the reason. */
export type PlannedReservation = Exclude<ReservationPlan, {readonly type: 'none'}>;

/** Part of an engine's memory from which a prompt counts as large. Smaller ones never reserve: an order costs more than it saves them. */
const largeMemoryShare = 1 / 8;

/** Largest part of an engine's memory that parts of prompts leave free. A larger one would refuse more of them than it saves of others. */
const maxMarginShare = 1 / 4;

/** Time in milliseconds within which all hosts have learned of a placement. */
const updateWindowMs = 100;

/**
 * Share of the recent placements for which the margin suffices. The largest one of all would make every large prompt reserve for as long as
 * a single prompt of an engine's size runs.
 */
const coveredShare = 0.95;

/**
 * Computes what the parts of a prompt that is larger than an engine leave free at each engine, so that reservations aren't refused because of
 * requests that this host doesn't know yet, and short prompts find memory besides.
 *
 * @param model - Performance model of the engine.
 * @param tokens - KV memory in tokens that the request needs in all.
 * @param maxParts - Largest number of engines that may share it.
 * @param unknownMemory - Tokens at one engine that other hosts may take before this host knows of it.
 * @returns Tokens.
 */
export function computeMargin(model: EngineModel, tokens: number, maxParts: number, unknownMemory: number): number {
	const wanted = Math.max(Math.min(unknownMemory, model.memory * maxMarginShare), footprint(model, model.usualPrompt, model.usualAnswer));
	// Few engines would never have the margin besides a prompt that nearly fills them.
	const possible = Math.max(model.memory - computePartMemory(model, tokens, maxParts), 0) / 2;
	return Math.min(wanted, possible);
}

/**
 * @param model - Performance model of the engine.
 * @param partTokens - Tokens of one part.
 * @param margin - Tokens that it should leave free.
 * @returns Tokens that must be free for the part; never more than an idle engine has.
 */
export function computeRequiredMemory({memory}: EngineModel, partTokens: number, margin: number): number {
	return Math.max(Math.min(partTokens + margin, memory), partTokens);
}

/**
 * @param model - Performance model of the engines.
 * @param prompt - Size of a request.
 * @returns Whether it needs a large part of an engine's memory.
 */
export function isLarge(model: EngineModel, prompt: Prompt | undefined): boolean {
	return prompt !== undefined && footprint(model, prompt.tokens, prompt.answer) >= model.memory * largeMemoryShare;
}

/** Returns what the jobs that began within one update window take together, for each of the jobs as the last one of its window. */
function sumWindows(jobs: readonly Job[], upstream: string, model: EngineModel): readonly number[] {
	const ordered = jobs.toSorted((a, b) => a.began - b.began);
	const sums: number[] = [];
	let first = 0;
	let sum = 0;
	for (const last of ordered) {
		sum += memoryAt(last, upstream, model);
		for (; last.began - ordered[first]!.began > updateWindowMs; first++) {
			sum -= memoryAt(ordered[first]!, upstream, model);
		}

		sums.push(sum);
	}

	return sums;
}

/**
 * Estimates the memory that other hosts may take at one engine before this host knows of it, from their jobs that are running.
 *
 * @param load - Jobs at engines.
 * @param engines - Engines of a service.
 * @param model - Performance model of the engines.
 * @param host - This host.
 * @returns Tokens; 0 while no other host has a job there.
 */
export function estimateUnknownMemory(load: Load, engines: readonly string[], model: EngineModel, host: string): number {
	const sums = engines
		.flatMap(engine => sumWindows(load.findJobsAt(engine).filter(job => job.host !== host), engine, model))
		.toSorted((a, b) => a - b);
	return sums[Math.floor(sums.length * coveredShare)] ?? 0;
}

/** Placement of a request, as far as reservations depend on it. */
export type PlacedRequest = {
	/** Engine that answers. */
	readonly upstream: {readonly id: string};
	/** Tokens at each engine if the memory is split between several, otherwise 0. */
	readonly holdTokens: number;
};

/** What a decision about a reservation depends on. */
export type ReservationInput = {
	readonly model: EngineModel;
	readonly load: Load;
	/** Engines of the service. */
	readonly engines: readonly string[];
	/** This host. */
	readonly host: string;
	/** Monotonic time in milliseconds. */
	readonly now: number;
};

/**
 * @param prompt - Size of a request whose job has not begun.
 * @param placement - Its placement.
 * @param input - Jobs at the engines, and their performance model.
 * @returns Where the memory of the request is reserved before it is sent.
 */
export function planReservation(prompt: Prompt, {upstream, holdTokens}: PlacedRequest, {model, load, engines, host, now}: ReservationInput): ReservationPlan {
	if (holdTokens > 0) {
		return {type: 'split', tokens: holdTokens};
	}

	if (!isLarge(model, prompt)) {
		return {type: 'none'};
	}

	const tokens = footprint(model, prompt.tokens, prompt.answer);
	const left = load.forecast(upstream.id, model, now).freeMemory - tokens;
	const margin = estimateUnknownMemory(load, engines, model, host);
	return left < margin
		? {
			type: 'contested', tokens, left, margin,
		}
		: {type: 'none'};
}
