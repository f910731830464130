/** Selects the upstreams that are scored for a request, so that the cost of routing does not grow with the fleet. */
import {type ModelService, type Upstream} from '../../types/configuration.js';
import {type Request} from '../../types/request.js';
import {type StepContext, type State} from '../../types/state.js';
import {selectTopRanked, hashText} from '../../utils/hashes.js';
import {canAttempt} from '../circuits/queries.js';
import {isStopping} from '../stops/queries.js';
import {canRunAt} from '../suspicion/queries.js';
import {getView} from '../upstreams/queries.js';
import {
	isIdle, assessUpstream, type Prompt, type Assessment,
} from './score.js';
import {getModelLengthClass, computeSegments} from './segments.js';
import {type Search} from './types.js';

/** A segment of at most this many engines is scored whole; of a larger one, this many are sampled. */
const sampleSize = 8;
/** Engines chosen by a hash of the prompt's first block. Hosts choose the same ones, so equal prefixes are cached together. */
const homeCount = 2;
/** Engines believed to cache the prefix that are scored, longest match first. */
const maxHolders = 4;
/** Engines reserved for longer prompts that are sampled as well. */
const borrowedSampleSize = 4;

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @param now - Time in milliseconds.
 * @returns Whether it is available and its circuit allows an attempt.
 */
export function isUsable(state: State, upstream: Upstream, now: number): boolean {
	return isUp(state, upstream) && canAttempt(state, upstream.id, now);
}

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @returns Whether it is reachable, ready and not stopping; an upstream without a report counts as ready.
 */
export function isUp(state: State, upstream: Upstream): boolean {
	const upstreamView = getView(state, upstream.id);
	return upstreamView.reachable && upstreamView.report?.ready !== false && !isStopping(state, upstream.id);
}

/**
 * Skips upstreams with an open circuit and those where the request failed before, unless there are no others. Upstreams
 * where suspicion forbids the request are never returned.
 *
 * @param state - Core state.
 * @param upstreams - Upstreams.
 * @param search - Request, and the upstreams where it failed before.
 * @param context - Time.
 * @returns Upstreams that can take the request; empty if there are none.
 */
export function findUsable(state: State, upstreams: readonly Upstream[], search: Search, context: StepContext): readonly Upstream[] {
	const {request, failedUpstreams} = search;
	const available = upstreams.filter(each => isUp(state, each) && canRunAt(state, request, each.id, context));
	const allowed = available.filter(each => canAttempt(state, each.id, context.now));
	const untried = allowed.filter(each => !failedUpstreams.includes(each.id));
	return [untried, allowed, available].find(each => each.length > 0) ?? [];
}

/**
 * @param items - Items.
 * @param size - Largest size of the sample.
 * @param context - Random source.
 * @returns Up to `size` items without repeats, in random order.
 */
export function sample<T>(items: readonly T[], size: number, context: StepContext): readonly T[] {
	const remaining = [...items];
	const sampled: T[] = [];
	while (sampled.length < size && remaining.length > 0) {
		const index = context.random.integer(0, remaining.length - 1);
		sampled.push(remaining[index]!);
		remaining[index] = remaining.at(-1)!;
		remaining.pop();
	}

	return sampled;
}

const hashCache = new Map<string, number>();
const maxCachedHashes = 4096;

/** Returns the hash of an upstream's id; cached, since ids are hashed for every request. */
function getHash(upstream: string): number {
	const cached = hashCache.get(upstream);
	if (cached !== undefined) {
		return cached;
	}

	if (hashCache.size >= maxCachedHashes) {
		hashCache.clear();
	}

	const hash = hashText(upstream);
	hashCache.set(upstream, hash);
	return hash;
}

function findHomes(request: Request, engines: readonly Upstream[]): readonly Upstream[] {
	const firstBlock = request.blocks[0];
	if (firstBlock === undefined) {
		return [];
	}

	const members = engines.map(upstream => ({upstream, hash: getHash(upstream.id)}));
	return selectTopRanked(hashText(firstBlock), members, homeCount).map(each => each.upstream);
}

/** A search for an engine of a model service. */
type EngineSearch = {
	readonly state: State;
	readonly request: Request;
	readonly requestedService: ModelService;
	readonly all: readonly Upstream[];
	/** The subset of `all` that can take the request. */
	readonly usable: readonly Upstream[];
	readonly prompt: Prompt;
	readonly context: StepContext;
};

function assessFor(search: EngineSearch, upstream: Upstream): Assessment {
	const {state, prompt, context} = search;
	return assessUpstream(state, upstream, prompt, context.now);
}

/** Samples engines of longer prompts: any for a short prompt, which has precedence there, only idle ones for a middle one. */
function sampleLongerSegments(search: EngineSearch, engines: readonly Upstream[]): readonly Assessment[] {
	return sample(engines, borrowedSampleSize, search.context)
		.map(each => assessFor(search, each))
		.filter(each => each.length === 'short' || isIdle(each));
}

/** Assesses engines of any segment that cache so much of the prompt that the remaining prefill counts as short. */
function assessHolders(search: EngineSearch, usableIds: ReadonlyMap<string, Upstream>): readonly Assessment[] {
	const assessments: Assessment[] = [];
	for (const [id] of search.prompt.cached) {
		const upstream = usableIds.get(id);
		if (upstream === undefined || assessments.length >= maxHolders) {
			continue;
		}

		const assessment = assessFor(search, upstream);
		if (getModelLengthClass(search.requestedService, assessment.prefill) === 'short') {
			assessments.push(assessment);
		}
	}

	return assessments;
}

/**
 * @param search - Request, service and upstreams.
 * @returns Assessed engines to score, without duplicates.
 */
export function findEngineCandidates(search: EngineSearch): readonly Assessment[] {
	const {state, requestedService, request, context} = search;
	const usableIds = new Map(search.usable.map(each => [each.id, each]));
	const engineSegments = computeSegments(state, requestedService, search.all, context.now);
	const {length} = search.prompt;
	const filterUsable = (engines: readonly Upstream[]) => engines.filter(each => usableIds.has(each.id));
	const dedicated = filterUsable(engineSegments[length]);
	const eligible = dedicated.length === 0 ? search.usable : dedicated;
	const sampled = eligible.length <= sampleSize ? eligible : [...findHomes(request, eligible), ...sample(eligible, sampleSize, context)];
	const longer = {short: [...engineSegments.middle, ...engineSegments.long], middle: engineSegments.long, long: []}[length];
	const assessments = [
		...sampled.map(each => assessFor(search, each)),
		...assessHolders(search, usableIds),
		...sampleLongerSegments(search, filterUsable(longer)),
	];
	return [...new Map(assessments.map(each => [each.upstream.id, each])).values()];
}
