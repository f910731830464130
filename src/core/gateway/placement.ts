/** Chooses the upstream of a request, and for long prompts the engines that help to read it, by what callers lose. */
import {hashText, mix} from '../utils/hashes.js';
import {footprint, estimatePrefill, type PrefillTime} from './engine.js';
import {type Health} from './health.js';
import {type Load} from './load.js';
import {
	estimateInterference, estimateOpeningLoss, estimateOwnLoss, estimatePrefillEnd, weigh, type Candidate,
} from './losses.js';
import {type Policy} from './policy.js';
import {type Eligibility} from './tries.js';
import {
	type Demand, type EngineModel, type GatewayUpstream, type Prompt,
} from './types.js';
import {urgencyOf} from './urgency.js';

/** Chunks of an engine from which on a prompt is worth sharing. */
const minSharedChunks = 4;

/** What a plain service's upstream costs when all its places are taken, as a share of a request's worth: the least busy is chosen. */
const busyLoss = 0.15;

/** Hashes are below this. */
const hashRange = 2 ** 32;

/** What is told to decide. */
export type Surroundings = {
	readonly policy: Policy;
	readonly load: Load;
	readonly health: Health;
	readonly host: string;
	readonly failureDomain: string;
	/** Failure domains that this host does not reach now. */
	readonly unreachable: ReadonlySet<string>;
	readonly eligibility: Eligibility;
	/** Job of this request that is looked at as if it had not been sent. */
	readonly except?: string;
	readonly now: number;
};

/** Where a request goes. */
export type Place = {
	readonly upstream: GatewayUpstream;
	readonly helpers: readonly GatewayUpstream[];
	/** Tokens to reserve at each of these engines; 0 where one engine holds the whole prompt. */
	readonly holdTokens: number;
	readonly reading: PrefillTime;
	/** Milliseconds until the first byte, as predicted. */
	readonly firstByte: number;
	/** Rank in the queue of the engine, 0 first; undefined for plain services. */
	readonly urgency?: number;
	/** Expected loss, in requests of usual worth. */
	readonly loss: number;
};

function createCandidates(upstreams: readonly GatewayUpstream[], model: EngineModel, options: Surroundings, prompt: Prompt): readonly Candidate[] {
	const {health, load, now, except: excludedJob, policy, failureDomain} = options;
	const host = hashText(options.host);
	const weight = weigh(model, prompt);
	const urgency = urgencyOf(prompt, false);
	return upstreams.map(upstream => ({
		upstream,
		forecast: load.forecast(upstream.id, model, now, {urgency, excludedJob}),
		fixedLoss: (health.risk(upstream.id, now) * weight)
			+ (upstream.failureDomain === failureDomain ? 0 : policy.distanceLoss)
			+ (hashSpread(host, upstream.id) * policy.spreadingLoss),
	}));
}

/** How little a host likes an upstream, 0 to 1: among equals hosts that have not heard of each other's choice differ. */
function hashSpread(host: number, upstream: string): number {
	return mix(host, hashText(upstream)) / hashRange;
}

type PromptSplit = {
	readonly first: Candidate;
	readonly helpers: readonly Candidate[];
	readonly holdTokens: number;
};

function evaluateSplit({first, helpers, holdTokens}: PromptSplit, demand: Demand, prompt: Prompt, model: EngineModel, options: Surroundings): Place {
	const {policy, now} = options;
	const prefill = estimatePrefill(model, prompt.tokens, helpers.length + 1);
	let loss = first.fixedLoss + estimateOpeningLoss(first, demand, policy);
	let firstByte = 0;
	for (const candidate of [first, ...helpers]) {
		loss += estimateInterference(candidate, prefill, now) + (candidate === first ? 0 : candidate.fixedLoss);
		firstByte = Math.max(firstByte, estimatePrefillEnd(candidate, prefill));
	}

	loss += estimateOwnLoss(first, firstByte, demand, weigh(model, prompt), now);
	return {
		upstream: first.upstream,
		helpers: helpers.map(option => option.upstream),
		holdTokens,
		reading: prefill,
		firstByte,
		urgency: urgencyOf(prompt, demand.isBegun === true),
		loss,
	};
}

/** The cheapest engines to read a part, for those who are there already. */
function rankCandidates(candidates: readonly Candidate[], prefill: PrefillTime, {now, policy}: Surroundings): readonly Candidate[] {
	const cost = new Map<Candidate, number>();
	for (const candidate of candidates) {
		cost.set(candidate, estimateInterference(candidate, prefill, now) + candidate.fixedLoss + (estimatePrefillEnd(candidate, prefill) * policy.waitLossPerMs));
	}

	return candidates.toSorted((a, b) => cost.get(a)! - cost.get(b)!);
}

function findSplits(prompt: Prompt, model: EngineModel, candidates: readonly Candidate[], options: Surroundings): PromptSplit[] {
	const {eligibility, policy} = options;
	const neededMemory = footprint(model, prompt.tokens, prompt.answer);
	const canAnswer = (candidate: Candidate) => eligibility.permitted?.has(candidate.upstream.id) ?? true;
	const fitting = candidates.filter(candidate => candidate.forecast.freeMemory >= neededMemory && canAnswer(candidate));
	const splits: PromptSplit[] = fitting.map(first => ({first, helpers: [], holdTokens: 0}));
	if (prompt.tokens < model.chunk * minSharedChunks) {
		return splits;
	}

	for (let parts = 2; parts <= Math.min(policy.maxParts, candidates.length); parts++) {
		const ranked = rankCandidates(candidates, estimatePrefill(model, prompt.tokens, parts), options);
		const first = ranked.find(candidate => fitting.includes(candidate));
		if (first !== undefined) {
			splits.push({first, helpers: ranked.filter(option => option !== first).slice(0, parts - 1), holdTokens: 0});
			continue;
		}

		const holdTokens = Math.ceil(neededMemory / parts) + model.stride;
		const available = ranked.filter(candidate => candidate.forecast.freeMemory >= holdTokens && candidate.forecast.requests < model.slots);
		const answering = available.find(candidate => canAnswer(candidate));
		if (available.length >= parts && answering !== undefined) {
			splits.push({first: answering, helpers: available.filter(option => option !== answering).slice(0, parts - 1), holdTokens});
		}
	}

	return splits;
}

function placeAtEngine(demand: Demand, prompt: Prompt, model: EngineModel, upstreams: readonly GatewayUpstream[], options: Surroundings): Place | undefined {
	const candidates = createCandidates(upstreams, model, options, prompt);
	let best: Place | undefined;
	for (const split of findSplits(prompt, model, candidates, options)) {
		const placement = evaluateSplit(split, demand, prompt, model, options);
		if (best === undefined || placement.loss < best.loss) {
			best = placement;
		}
	}

	return best;
}

const noPrefill: PrefillTime = {total: 0, perPass: 0};

/** Fewest requests for its size; the first in order of equals, so that hosts do not agree by chance. */
function placeAtService(upstreams: readonly GatewayUpstream[], {eligibility, load, health, failureDomain, policy, now}: Surroundings): Place | undefined {
	let best: Place | undefined;
	for (const upstream of upstreams) {
		if (eligibility.permitted?.has(upstream.id) === false) {
			continue;
		}

		const busy = (load.requests(upstream.id) + 1) / Math.max(upstream.slots, 1);
		const distance = upstream.failureDomain === failureDomain ? 0 : policy.distanceLoss;
		const loss = health.risk(upstream.id, now) + (busy * busyLoss) + (busy > 1 ? 1 : 0) + distance;
		if (best === undefined || loss < best.loss) {
			best = {
				upstream, helpers: [], holdTokens: 0, reading: noPrefill, firstByte: 0, loss,
			};
		}
	}

	return best;
}

/** Upstreams to choose from: those that are not left alone; all of them rather than none. */
function findUsable(upstreams: readonly GatewayUpstream[], {eligibility, health, unreachable, now}: Surroundings): readonly GatewayUpstream[] {
	const eligible = upstreams.filter(each => !each.isDraining && !eligibility.tried.has(each.id));
	const healthy = eligible.filter(each => !health.isPaused(each.id, now) && !unreachable.has(each.failureDomain));
	return healthy.length > 0 ? healthy : eligible;
}

/**
 * @param demand - Request.
 * @param upstreams - Upstreams of its service.
 * @param model - How the service's engines spend their time; undefined for plain services.
 * @param options - What else decides.
 * @returns Where it goes, or undefined if nothing can take it.
 */
export function place(demand: Demand, upstreams: readonly GatewayUpstream[], model: EngineModel | undefined, options: Surroundings): Place | undefined {
	const usable = findUsable(upstreams, options);
	return model !== undefined && demand.prompt !== undefined
		? placeAtEngine(demand, demand.prompt, model, usable, options)
		: placeAtService(usable, options);
}

/** What a request loses where it was sent, and where it could go instead. */
export type Second = {
	readonly staying: number;
	readonly best: Place | undefined;
};

/**
 * Looks again at where a request was sent a moment ago: hosts that had not heard of each other may have chosen the same engine.
 *
 * @param demand - Request.
 * @param current - Where it went.
 * @param upstreams - Upstreams of its service.
 * @param model - How the service's engines spend their time.
 * @param options - What else decides; its own job is the exception there.
 * @returns Both losses, in requests of usual worth; undefined for plain services.
 */
export function reconsider(demand: Demand, current: Place, upstreams: readonly GatewayUpstream[], model: EngineModel | undefined, options: Surroundings): Second | undefined {
	const {prompt} = demand;
	if (model === undefined || prompt === undefined) {
		return undefined;
	}

	const [first, ...helpers] = createCandidates([current.upstream, ...current.helpers], model, options, prompt);
	const {loss} = evaluateSplit({first: first!, helpers, holdTokens: current.holdTokens}, demand, prompt, model, options);
	return {staying: loss, best: place(demand, upstreams, model, options)};
}
