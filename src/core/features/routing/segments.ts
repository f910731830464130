/**
 * Divides the engines of a service and failure domain among prompt lengths, so that short prompts do not wait behind long ones.
 * Deterministic: hosts with the same view compute the same segments.
 */
import {
	type Engine, type ModelService, type Service, type Upstream,
} from '../../types/configuration.js';
import {type TrafficMix} from '../../types/peer.js';
import {type LengthClass} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {hashText, rank} from '../../utils/hashes.js';
import {getRatePerSecond} from '../../utils/rates.js';
import {noArrivals} from './types.js';

/** Window of the arrival rates: long prompts are rare, so a shorter one would often see none. */
export const arrivalWindowMs = 300_000;

/** Length classes in the order in which they are assigned engines. */
const longestFirst = ['long', 'middle', 'short'] as const;

/** Assumed share of the work by length until enough requests have arrived. */
const defaultMix: Readonly<Record<LengthClass, number>> = {short: 0.2, middle: 0.4, long: 0.4};

/** Rate at which the default mix counts among the measured rates. */
const defaultMixTokensPerSecond = 50;

/** Extra capacity for short prompts, relative to their share, for a service that weighs only slowdown; less otherwise. */
const shortPromptHeadroom = 3;

export type Segments = Readonly<Record<LengthClass, readonly Engine[]>>;

/**
 * @param requestedService - Model service.
 * @param promptTokens - Length of a prompt.
 * @returns Its length class.
 */
export function getModelLengthClass(requestedService: ModelService, promptTokens: number): LengthClass {
	const {short, long} = requestedService.lengthClasses;
	if (promptTokens <= short) {
		return 'short';
	}

	return promptTokens < long ? 'middle' : 'long';
}

/**
 * @param state - Core state.
 * @param requestedService - Service.
 * @param promptTokens - Length of a prompt.
 * @returns Its length class; always `short` for a plain or unknown service.
 */
export function getLengthClass(requestedService: Service | undefined, promptTokens: number): LengthClass {
	return requestedService?.kind === 'model' ? getModelLengthClass(requestedService, promptTokens) : 'short';
}

/**
 * @param state - Core state.
 * @param now - Time in milliseconds.
 * @returns Arrival rates of this host by service and length, as published to peers.
 */
export function getOwnMixes(state: State, now: number): readonly TrafficMix[] {
	return [...state.routing.arrivals.entries()].map(([service, arrivals]) => ({
		service,
		short: Math.round(getRatePerSecond(arrivals.short, now, arrivalWindowMs)),
		middle: Math.round(getRatePerSecond(arrivals.middle, now, arrivalWindowMs)),
		long: Math.round(getRatePerSecond(arrivals.long, now, arrivalWindowMs)),
	}));
}

function sumMixes(state: State, service: string, now: number): Readonly<Record<LengthClass, number>> {
	const own = state.routing.arrivals.get(service) ?? noArrivals;
	const total = {
		short: getRatePerSecond(own.short, now, arrivalWindowMs) + (defaultMix.short * defaultMixTokensPerSecond),
		middle: getRatePerSecond(own.middle, now, arrivalWindowMs) + (defaultMix.middle * defaultMixTokensPerSecond),
		long: getRatePerSecond(own.long, now, arrivalWindowMs) + (defaultMix.long * defaultMixTokensPerSecond),
	};
	for (const peer of state.membership.peers.values()) {
		const isNear = peer.status === 'live' && peer.member.failureDomain === state.self.failureDomain;
		const published = isNear ? peer.mixes.find(each => each.service === service) : undefined;
		total.short += published?.short ?? 0;
		total.middle += published?.middle ?? 0;
		total.long += published?.long ?? 0;
	}

	return total;
}

type SegmentSizes = Readonly<Record<LengthClass, number>>;

/**
 * Assigns at least one engine to each length and the others in proportion to the work, with extra capacity for short prompts.
 *
 * @param mix - Work by length, in any unit.
 * @param requestedService - Service, for its weights.
 * @param count - Engines to assign, at least three.
 * @returns Number of engines for each length.
 */
export function computeSegmentSizes(mix: Readonly<Record<LengthClass, number>>, requestedService: ModelService, count: number): SegmentSizes {
	const {slowdown, firstToken} = requestedService.weights;
	const slowdownShare = slowdown + firstToken === 0 ? 0 : slowdown / (slowdown + firstToken);
	const short = mix.short * (1 + (shortPromptHeadroom * slowdownShare));
	const all = short + mix.middle + mix.long;
	const long = Math.min(Math.max(Math.round(count * mix.long / all), 1), count - 2);
	const middle = Math.min(Math.max(Math.round(count * mix.middle / all), 1), count - long - 1);
	return {long, middle, short: count - long - middle};
}

type HashedEngine = {readonly engine: Engine; readonly hash: number};

const rankingCache = new WeakMap<readonly Upstream[], readonly Engine[]>();

/** Ranks the engines of a list; cached by list, since the configuration's lists are immutable. */
function rankEngines(requestedService: ModelService, upstreams: readonly Upstream[]): readonly Engine[] {
	const cached = rankingCache.get(upstreams);
	if (cached !== undefined) {
		return cached;
	}

	const engines = upstreams.filter(each => each.kind === 'engine');
	const hashed: readonly HashedEngine[] = engines.map(engine => ({engine, hash: hashText(engine.id)}));
	const ranked = rank(hashText(requestedService.id), hashed).map(each => each.engine);
	rankingCache.set(upstreams, ranked);
	return ranked;
}

/** Fewer engines are not divided: each length needs one of its own. */
const minSegmentedEngines = 3;

/**
 * Segments are consecutive ranges of one ranking, so hosts whose views of the demand differ slightly disagree on one or two
 * engines only.
 *
 * @param state - Core state.
 * @param requestedService - Model service.
 * @param upstreams - Its upstreams in one failure domain, in the order of the configuration.
 * @param now - Time in milliseconds.
 * @returns Engines by the length of the prompts that they are reserved for.
 */
export function computeSegments(state: State, requestedService: ModelService, upstreams: readonly Upstream[], now: number): Segments {
	const engines = rankEngines(requestedService, upstreams);
	if (engines.length < minSegmentedEngines) {
		return {short: engines, middle: engines, long: engines.slice(0, 1)};
	}

	const sizes = computeSegmentSizes(sumMixes(state, requestedService.id, now), requestedService, engines.length);
	const segments: Record<LengthClass, readonly Engine[]> = {short: [], middle: [], long: []};
	let start = 0;
	for (const length of longestFirst) {
		segments[length] = engines.slice(start, start + sizes[length]);
		start += sizes[length];
	}

	return segments;
}
