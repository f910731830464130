/** Chooses the upstream of a request, and for long prompts the engines that help to prefill it, so that the expected loss is least. */
import {hashText, mixHashes} from '../../utils/hashes.js';
import {
	computePartMemory, footprint, estimatePrefill, type PrefillTime,
} from '../engines/engine.js';
import {computeMargin, computeRequiredMemory, isLarge} from '../engines/memory-reservation.js';
import {type Health} from '../health/health.js';
import {type Forecast, type Load} from '../engines/load.js';
import {
	estimateDisruptionLoss, estimateOpeningLoss, estimateOwnLoss, estimatePrefillEnd, computeWeight, type Candidate,
} from '../engines/losses.js';
import {type Pace} from '../engines/paces.js';
import {
	type Demand, type EngineModel, type GatewayUpstream, type Prompt,
} from '../types.js';
import {urgencyOf} from '../engines/urgency.js';
import {type Policy} from './policy.js';
import {type Eligibility} from './attempts.js';
import {findAccepting, type ObstacleFinder} from './eligibility.js';
import {
	findPreferred, isServedInTime, type Preference, type PreferenceResult,
} from './preference.js';

/** Shortest prompt, in prefill chunks, for which several engines are considered. */
const minSharedChunks = 4;

/** Loss at a plain service's upstream whose slots are all taken; scales with its load, so that the least busy one is chosen. */
const busyLoss = 0.15;

/**
 * Largest spread of the losses at plain upstreams while no request is known there, as a share of the loss that one more request or the
 * distance to another failure domain causes: it decides only between upstreams that are equal otherwise.
 */
const idleSpreadShare = 0.9;

/**
 * Additional spread per known request at an upstream on average, and its limit, both in requests. Within the delay of load updates, hosts
 * would otherwise all choose the upstream that was idle last.
 */
const spreadPerRequest = 2;
const maxSpreadRequests = 2;

/** Exclusive upper bound of hashes. */
const hashRange = 2 ** 32;

/** State of this host that a placement depends on. */
export type PlacementOptions = {
	readonly policy: Policy;
	readonly load: Load;
	readonly health: Health;
	readonly host: string;
	readonly failureDomain: string;
	/** Failure domains that this host cannot reach now. */
	readonly unreachable: ReadonlySet<string>;
	readonly eligibility: Eligibility;
	/** Finds what keeps an upstream from accepting a request. */
	readonly findObstacle: ObstacleFinder;
	/** Engines that this request prefers, if there are such. Not applied at plain services. */
	readonly preference?: Preference;
	/** Tokens at one engine that other hosts may take before this host knows of it; 0 if absent. */
	readonly unknownMemory?: number;
	/** Returns the part of an engine's free memory that this request may take, in tokens; absent if it may take all of it. */
	readonly limitMemory?: (upstream: string, free: number) => number;
	/** Job of this request to leave out of forecasts, as if it had not been sent. */
	readonly excludedJob?: string;
	/** Monotonic time in milliseconds. */
	readonly now: number;
};

/** Chosen upstream of a request, and its expected cost. */
export type Placement = {
	/** Upstream that answers. */
	readonly upstream: GatewayUpstream;
	/** Other engines that prefill a part of the prompt. */
	readonly helpers: readonly GatewayUpstream[];
	/** Tokens to reserve at each of these engines; 0 if one engine holds the whole prompt. */
	readonly holdTokens: number;
	/** Prefill time at each of the engines, at the speed that its configuration states. */
	readonly prefill: PrefillTime;
	/** Pace of the engine that answers; undefined for plain services. */
	readonly pace?: Pace;
	/** Predicted milliseconds until the first byte. */
	readonly firstByte: number;
	/** Of these, milliseconds until the engine that answers has a free slot; undefined for plain services. */
	readonly slotWait?: number;
	/** Rank in the queue of the engine, 0 is first; undefined for plain services. */
	readonly urgency?: number;
	/** Expected loss, in requests of usual weight. */
	readonly loss: number;
	/** How the preference of the request was applied; absent if it made no difference. */
	readonly preference?: PreferenceResult;
};

function createCandidates(upstreams: readonly GatewayUpstream[], model: EngineModel, options: PlacementOptions, demand: Demand): readonly Candidate[] {
	const {health, load, now, excludedJob, policy, failureDomain} = options;
	const host = hashText(options.host);
	const prompt = demand.prompt!;
	const weight = computeWeight(model, prompt);
	const urgency = urgencyOf(prompt, false, demand.organisationPriority);
	return upstreams.map(upstream => ({
		upstream,
		forecast: limitForecast(load.forecast(upstream.id, model, now, {urgency, excludedJob}), upstream.id, options),
		fixedLoss: (health.failureProbability(upstream.id, now) * weight)
			+ (upstream.failureDomain === failureDomain ? 0 : policy.distanceLoss)
			+ (hashSpread(host, upstream.id) * policy.spreadingLoss),
	}));
}

function limitForecast(forecast: Forecast, upstream: string, {limitMemory}: PlacementOptions): Forecast {
	return limitMemory === undefined ? forecast : {...forecast, freeMemory: limitMemory(upstream, forecast.freeMemory)};
}

/** Offset of an upstream for a host, 0 to 1: hosts that do not know of each other's latest choices rank equal upstreams differently. */
function hashSpread(host: number, upstream: string): number {
	return mixHashes(host, hashText(upstream)) / hashRange;
}

/** Engines that prefill a prompt together; `first` answers the request. */
type PromptSplit = {
	readonly first: Candidate;
	readonly helpers: readonly Candidate[];
	readonly holdTokens: number;
};

function evaluateSplit({first, helpers, holdTokens}: PromptSplit, demand: Demand, prompt: Prompt, model: EngineModel, options: PlacementOptions): Placement {
	const {policy, now} = options;
	const prefill = estimatePrefill(model, prompt.tokens, helpers.length + 1);
	let loss = first.fixedLoss + estimateOpeningLoss(first, demand, policy);
	let firstByte = 0;
	for (const candidate of [first, ...helpers]) {
		loss += estimateDisruptionLoss(candidate, prefill, now) + (candidate === first ? 0 : candidate.fixedLoss);
		firstByte = Math.max(firstByte, estimatePrefillEnd(candidate, prefill));
	}

	loss += estimateOwnLoss(first, firstByte, demand, computeWeight(model, prompt), now);
	return {
		upstream: first.upstream,
		helpers: helpers.map(candidate => candidate.upstream),
		holdTokens,
		prefill,
		pace: first.forecast.pace,
		firstByte,
		slotWait: first.forecast.slotWait,
		urgency: urgencyOf(prompt, demand.hasBegun === true, demand.organisationPriority),
		loss,
	};
}

/** Sorts engines by the loss that prefilling one part causes there, the least first. */
function rankCandidates(candidates: readonly Candidate[], prefill: PrefillTime, {now, policy}: PlacementOptions): readonly Candidate[] {
	const cost = new Map<Candidate, number>();
	for (const candidate of candidates) {
		cost.set(candidate, estimateDisruptionLoss(candidate, prefill, now) + candidate.fixedLoss + (estimatePrefillEnd(candidate, prefill) * policy.waitLossPerMs));
	}

	return candidates.toSorted((a, b) => cost.get(a)! - cost.get(b)!);
}

/** Finds the possible splits of a prompt. */
function findSplits(prompt: Prompt, model: EngineModel, candidates: readonly Candidate[], options: PlacementOptions): readonly PromptSplit[] {
	const {eligibility, policy} = options;
	const neededMemory = footprint(model, prompt.tokens, prompt.answer);
	const canAnswer = (candidate: Candidate) => eligibility.permitted?.has(candidate.upstream.id) ?? true;
	const fitting = candidates.filter(candidate => candidate.forecast.freeMemory >= neededMemory && canAnswer(candidate));
	const splits: PromptSplit[] = fitting.map(first => ({first, helpers: [], holdTokens: 0}));
	if (prompt.tokens < model.chunk * minSharedChunks) {
		return splits;
	}

	const maxParts = Math.min(policy.maxParts, candidates.length);
	const margin = computeMargin(model, neededMemory, maxParts, options.unknownMemory ?? 0);
	for (let parts = 2; parts <= maxParts; parts++) {
		const ranked = rankCandidates(candidates, estimatePrefill(model, prompt.tokens, parts), options);
		const first = ranked.find(candidate => fitting.includes(candidate));
		if (first !== undefined) {
			splits.push({first, helpers: ranked.filter(candidate => candidate !== first).slice(0, parts - 1), holdTokens: 0});
			continue;
		}

		// Short prompts reserve no memory: an order costs more than it saves them.
		if (!isLarge(model, prompt)) {
			continue;
		}

		const holdTokens = computePartMemory(model, neededMemory, parts);
		const available = ranked.filter(candidate => candidate.forecast.freeMemory >= computeRequiredMemory(model, holdTokens, margin) && candidate.forecast.requests < model.slots);
		const answering = available.find(candidate => canAnswer(candidate));
		if (available.length >= parts && answering !== undefined) {
			splits.push({first: answering, helpers: available.filter(candidate => candidate !== answering).slice(0, parts - 1), holdTokens});
		}
	}

	return splits;
}

function placeAtEngine(demand: Demand, prompt: Prompt, model: EngineModel, upstreams: readonly GatewayUpstream[], options: PlacementOptions): Placement | undefined {
	const candidates = createCandidates(upstreams, model, options, demand);
	let best: Placement | undefined;
	for (const split of findSplits(prompt, model, candidates, options)) {
		const placement = evaluateSplit(split, demand, prompt, model, options);
		if (best === undefined || placement.loss < best.loss) {
			best = placement;
		}
	}

	return best;
}

/** Places a request at the engines that it prefers, or at any if these can't serve it in time. */
function placeByPreference(demand: Demand, prompt: Prompt, model: EngineModel, upstreams: readonly GatewayUpstream[], options: PlacementOptions): Placement | undefined {
	const {preference} = options;
	const preferred = preference === undefined ? undefined : findPreferred(upstreams, preference);
	if (preference === undefined || preferred === undefined) {
		return placeAtEngine(demand, prompt, model, upstreams, options);
	}

	const {reason} = preference;
	const placement = placeAtEngine(demand, prompt, model, preferred, options);
	if (placement !== undefined && isServedInTime(placement.loss, prompt, model)) {
		return {...placement, preference: {reason, isMet: true}};
	}

	const best = placeAtEngine(demand, prompt, model, upstreams, options);
	return best === undefined ? undefined : {...best, preference: {reason, isMet: false}};
}

const noPrefill: PrefillTime = {total: 0, perIteration: 0};

/**
 * Chooses the upstream with the fewest requests per slot. An idle upstream of another failure domain is chosen as soon as one more request
 * here costs more than the distance. Each request has an order of its own for upstreams that are nearly equal.
 */
function placeAtService(demand: Demand, upstreams: readonly GatewayUpstream[], {eligibility, load, health, host, failureDomain, policy, now}: PlacementOptions): Placement | undefined {
	const order = mixHashes(hashText(host), hashText(demand.id));
	let known = 0;
	for (const upstream of upstreams) {
		known += load.countRequests(upstream.id);
	}

	const loadSpread = Math.min(known / Math.max(upstreams.length, 1) * spreadPerRequest, maxSpreadRequests);
	let best: Placement | undefined;
	for (const upstream of upstreams) {
		if (eligibility.permitted?.has(upstream.id) === false) {
			continue;
		}

		const slots = Math.max(upstream.slots, 1);
		const busy = (load.countRequests(upstream.id) + 1) / slots;
		const distance = upstream.failureDomain === failureDomain ? 0 : policy.distanceLoss;
		const requestLoss = busyLoss / slots;
		const spread = hashSpread(order, upstream.id) * ((Math.min(requestLoss, policy.distanceLoss) * idleSpreadShare) + (busy > 1 ? 0 : loadSpread * requestLoss));
		const loss = health.failureProbability(upstream.id, now) + (busy * busyLoss) + (busy > 1 ? 1 : 0) + distance + spread;
		if (best === undefined || loss < best.loss) {
			best = {
				upstream, helpers: [], holdTokens: 0, prefill: noPrefill, firstByte: 0, loss,
			};
		}
	}

	return best;
}

/**
 * @param upstreams - Upstreams of a service.
 * @param options - State of this host.
 * @returns Those that are neither backed off nor unreachable, or else all that are eligible: a doubtful one is better than none.
 */
export function findUsable(upstreams: readonly GatewayUpstream[], {eligibility, health, unreachable, findObstacle, now}: PlacementOptions): readonly GatewayUpstream[] {
	const eligible = findAccepting(upstreams, eligibility, findObstacle);
	const healthy = eligible.filter(each => !health.isBackedOff(each.id, now) && !unreachable.has(each.failureDomain));
	return healthy.length > 0 ? healthy : eligible;
}

/**
 * @param demand - Request.
 * @param upstreams - Upstreams of its service.
 * @param model - Performance model of the service's engines; undefined for plain services.
 * @param options - State of this host that the placement depends on.
 * @returns The placement, or undefined if no upstream can take the request.
 */
export function place(demand: Demand, upstreams: readonly GatewayUpstream[], model: EngineModel | undefined, options: PlacementOptions): Placement | undefined {
	const usable = findUsable(upstreams, options);
	return model !== undefined && demand.prompt !== undefined
		? placeByPreference(demand, demand.prompt, model, usable, options)
		: placeAtService(demand, usable, options);
}

/**
 * Replaces an engine that refused its part of a prompt by the one with the most free memory, so that the other engines keep their parts.
 *
 * @param placement - Placement with reservations at several engines.
 * @param refusing - Id of the engine that refused.
 * @param demand - Request.
 * @param model - Performance model of the engines.
 * @param upstreams - Upstreams of the service.
 * @param options - State of this host that the placement depends on.
 * @returns The changed placement, or undefined if no other engine has the memory.
 */
export function substitute(placement: Placement, refusing: string, demand: Demand, model: EngineModel, upstreams: readonly GatewayUpstream[], options: PlacementOptions): Placement | undefined {
	const {upstream, helpers, holdTokens} = placement;
	const mayReplace = (id: string) => upstream.id !== refusing || options.eligibility.permitted === undefined || options.eligibility.permitted.has(id);
	const taken = new Set([upstream.id, ...helpers.map(each => each.id)]);
	const free = findUsable(upstreams, options).filter(each => !taken.has(each.id) && mayReplace(each.id));
	const [best] = createCandidates(free, model, options, demand)
		.filter(({forecast}) => forecast.freeMemory >= holdTokens && forecast.requests < model.slots)
		.toSorted((a, b) => b.forecast.freeMemory - a.forecast.freeMemory);
	if (best === undefined) {
		return undefined;
	}

	const replace = (each: GatewayUpstream) => each.id === refusing ? best.upstream : each;
	return {...placement, upstream: replace(upstream), helpers: helpers.map(each => replace(each))};
}

/** Comparison of the current placement of a request with the best alternative. */
export type Reevaluation = {
	/** Expected loss at the current placement, in requests of usual weight. */
	readonly staying: number;
	readonly best: Placement | undefined;
};

/**
 * Reevaluates a recent placement: hosts that did not know of each other's choices may have chosen the same engine.
 *
 * @param demand - Request.
 * @param current - Current placement.
 * @param upstreams - Upstreams of its service.
 * @param model - Performance model of the service's engines; undefined for plain services.
 * @param options - State of this host; the job of the request is excluded there.
 * @returns The current loss and the best placement; undefined for plain services.
 */
export function reevaluate(demand: Demand, current: Placement, upstreams: readonly GatewayUpstream[], model: EngineModel | undefined, options: PlacementOptions): Reevaluation | undefined {
	const {prompt} = demand;
	if (model === undefined || prompt === undefined) {
		return undefined;
	}

	const [first, ...helpers] = createCandidates([current.upstream, ...current.helpers], model, options, demand);
	const {loss} = evaluateSplit({first: first!, helpers, holdTokens: current.holdTokens}, demand, prompt, model, options);
	return {staying: loss, best: place(demand, upstreams, model, options)};
}
