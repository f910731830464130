/** Finds the upstreams worth scoring for a request. */
import {type ModelService, type Upstream} from '../../types/configuration.js';
import {type Request} from '../../types/request.js';
import {type Context, type State} from '../../types/state.js';
import {firstChoices, hashText} from '../../utils/hashes.js';
import {isClosed} from '../circuits/queries.js';
import {isStopping} from '../stops/queries.js';
import {mayRunAt} from '../suspicion/queries.js';
import {view} from '../upstreams/queries.js';
import {
	isIdle, look, type Prompt, type Sight,
} from './score.js';
import {lengthClass, segments} from './segments.js';
import {type Search} from './types.js';

/** Engines of a segment that are all scored; of more, these many are drawn. */
const sampled = 8;
/** First choices by the prompt's first block: where its prefix will be looked for, also by other hosts. */
const homes = 2;
/** Believed holders of the prefix that are scored, the longest match first. */
const mostHolders = 4;
/** Engines kept for longer prompts that are looked at as well. */
const borrowed = 4;

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @param now - Time in milliseconds.
 * @returns Whether it takes requests, as far as is known.
 */
export function isUsable(state: State, upstream: Upstream, now: number): boolean {
	return isUp(state, upstream) && isClosed(state, upstream.id, now);
}

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @returns Whether it can be reached, says that it is ready and is not stopping; one never heard of counts as ready.
 */
export function isUp(state: State, upstream: Upstream): boolean {
	const known = view(state, upstream.id);
	return known.reachable && known.report?.ready !== false && !isStopping(state, upstream.id);
}

/**
 * Open circuits, and upstreams where the request failed before, are passed over unless nothing else is left; those
 * where suspicion does not let it run are never taken.
 *
 * @param state - Core state.
 * @param upstreams - Upstreams.
 * @param search - Request, and where it failed before.
 * @param context - Time.
 * @returns Those that take the request.
 */
export function usable(state: State, upstreams: readonly Upstream[], search: Search, context: Context): readonly Upstream[] {
	const {request, avoided} = search;
	const up = upstreams.filter(each => isUp(state, each) && mayRunAt(state, request, each.id, context));
	const closed = up.filter(each => isClosed(state, each.id, context.now));
	const fresh = closed.filter(each => !avoided.includes(each.id));
	return [fresh, closed, up].find(each => each.length > 0) ?? [];
}

/**
 * @param all - Anything to draw from.
 * @param most - Number wanted.
 * @param context - Random source.
 * @returns All, or so many drawn without repeats, in random order.
 */
export function draw<T>(all: readonly T[], most: number, context: Context): readonly T[] {
	const left = [...all];
	const drawn: T[] = [];
	while (drawn.length < most && left.length > 0) {
		const place = context.random.integer(0, left.length - 1);
		drawn.push(left[place]!);
		left[place] = left.at(-1)!;
		left.pop();
	}

	return drawn;
}

const hashes = new Map<string, number>();
const mostHashes = 4096;

/** The hash of an upstream's name never changes. */
function hashOf(upstream: string): number {
	const known = hashes.get(upstream);
	if (known !== undefined) {
		return known;
	}

	if (hashes.size >= mostHashes) {
		hashes.clear();
	}

	const made = hashText(upstream);
	hashes.set(upstream, made);
	return made;
}

function home(request: Request, engines: readonly Upstream[]): readonly Upstream[] {
	const first = request.blocks[0];
	if (first === undefined) {
		return [];
	}

	const members = engines.map(upstream => ({upstream, hash: hashOf(upstream.id)}));
	return firstChoices(hashText(first), members, homes).map(each => each.upstream);
}

/** What the search for an engine needs. */
type EngineSearch = {
	readonly state: State;
	readonly request: Request;
	readonly wanted: ModelService;
	readonly all: readonly Upstream[];
	/** Of all, those that take requests. */
	readonly usable: readonly Upstream[];
	readonly prompt: Prompt;
	readonly context: Context;
};

function see(search: EngineSearch, upstream: Upstream): Sight {
	const {state, prompt, context} = search;
	return look(state, upstream, prompt, context.now);
}

/** Longer prompts' engines: idle ones for a middle prompt, any for a short one, as it goes first there. */
function borrow(search: EngineSearch, engines: readonly Upstream[]): readonly Sight[] {
	return draw(engines, borrowed, search.context)
		.map(each => see(search, each))
		.filter(each => each.length === 'short' || isIdle(each));
}

/** Holders of the prefix outside the segment, where what is left to do is as short as what they are kept for. */
function holding(search: EngineSearch, usableIds: ReadonlyMap<string, Upstream>): readonly Sight[] {
	const sights: Sight[] = [];
	for (const [id] of search.prompt.cached) {
		const upstream = usableIds.get(id);
		if (upstream === undefined || sights.length >= mostHolders) {
			continue;
		}

		const sight = see(search, upstream);
		if (lengthClass(search.wanted, sight.prefill) === 'short') {
			sights.push(sight);
		}
	}

	return sights;
}

/**
 * @param search - Request, service and upstreams.
 * @returns Engines worth scoring, none twice.
 */
export function engineCandidates(search: EngineSearch): readonly Sight[] {
	const {state, wanted, request, context} = search;
	const usableIds = new Map(search.usable.map(each => [each.id, each]));
	const split = segments(state, wanted, search.all, context.now);
	const {length} = search.prompt;
	const inUse = (engines: readonly Upstream[]) => engines.filter(each => usableIds.has(each.id));
	const kept = inUse(split[length]);
	const own = kept.length === 0 ? search.usable : kept;
	const drawn = own.length <= sampled ? own : [...home(request, own), ...draw(own, sampled, context)];
	const longer = {short: [...split.middle, ...split.long], middle: split.long, long: []}[length];
	const sights = [
		...drawn.map(each => see(search, each)),
		...holding(search, usableIds),
		...borrow(search, inUse(longer)),
	];
	return [...new Map(sights.map(each => [each.upstream.id, each])).values()];
}
