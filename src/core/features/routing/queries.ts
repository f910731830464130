/** Chooses an upstream for a request by the service's policy. */
import {type Engine, type Service, type Upstream} from '../../types/configuration.js';
import {type Request} from '../../types/request.js';
import {type Context, type State} from '../../types/state.js';
import {assertNever} from '../../utils/common.js';
import {domainUpstreams, service} from '../configuration/queries.js';
import {cachedTokens} from '../prefixes/queries.js';
import {isLegacy, upstreamsFor} from '../takeover/queries.js';
import {view} from '../upstreams/queries.js';
import {expectedOutput} from '../work/queries.js';
import {draw, engineCandidates, usable} from './candidates.js';
import {
	ahead, hasRoom, look, score, type Prompt, type Sight,
} from './score.js';
import {classOf} from './segments.js';
import {type Choice, type Route, type Search} from './types.js';

/** Candidates that are written to the log. */
const mostShown = 5;

/** Plain upstreams that are drawn and scored. */
const sampledPlain = 4;

/**
 * @param state - Core state.
 * @param request - Request.
 * @returns KV memory that the request will need, in tokens.
 */
export function footprint(state: State, request: Request): number {
	return request.promptTokens + expectedOutput(state, request);
}

/**
 * @param upstream - Upstream.
 * @param needed - KV memory needed, in tokens.
 * @returns Whether the request fits into it alone.
 */
export function fits(upstream: Upstream, needed: number): boolean {
	return upstream.kind !== 'engine' || upstream.memory >= needed;
}

function chosen(state: State, sights: readonly Sight[], wanted: Service, reason: string): Choice | undefined {
	const scored = sights
		.map(sight => ({sight, score: score(state, sight, wanted)}))
		.toSorted((a, b) => a.score - b.score);
	const best = scored[0];
	if (best === undefined) {
		return undefined;
	}

	const {upstream, cached} = best.sight;
	const candidates = scored.slice(0, mostShown)
		.map(each => ({upstream: each.sight.upstream.id, score: Math.round(each.score)}));
	return {
		upstream, cached, candidates, ahead: Math.round(ahead(best.sight)), reason,
	};
}

/** The upstreams that a search is about. */
type Field = {
	/** As the configuration lists them. */
	readonly all: readonly Upstream[];
	/** Of all, those that can take the request. */
	readonly open: readonly Upstream[];
};

function promptOf(state: State, search: Search): Prompt {
	const {request, wanted} = search;
	return {
		tokens: request.promptTokens,
		length: classOf(wanted, request.promptTokens),
		cached: wanted.kind === 'model' ? cachedTokens(state, request) : new Map(),
	};
}

function byCost(state: State, search: Search, {all, open}: Field, context: Context): Choice | undefined {
	const {request, wanted} = search;
	const prompt = promptOf(state, search);
	if (wanted.kind === 'plain' || isLegacy(state, request)) {
		const sights = draw(open, sampledPlain, context).map(each => look(state, each, prompt, context.now));
		return chosen(state, sights.filter(each => hasRoom(each, 0)), wanted, 'least work of those drawn');
	}

	const sights = engineCandidates({
		state, request, wanted, all, usable: open, prompt, context,
	});
	const needed = footprint(state, request);
	return chosen(state, sights.filter(each => hasRoom(each, needed)), wanted, 'lowest cost');
}

/** A baseline takes an upstream whether it has room or not: the queue is then the upstream's own. */
function baseline(state: State, search: Search, upstream: Upstream | undefined, {now}: Context): Choice | undefined {
	const sights = upstream === undefined ? [] : [look(state, upstream, promptOf(state, search), now)];
	return chosen(state, sights, search.wanted, search.wanted.policy);
}

function leastRequests(state: State, upstreams: readonly Upstream[], context: Context): Upstream | undefined {
	return draw(upstreams, upstreams.length, context)
		.toSorted((a, b) => view(state, a.id).requests - view(state, b.id).requests)[0];
}

function choose(state: State, search: Search, field: Field, context: Context): Choice | undefined {
	const {policy} = search.wanted;
	const {open} = field;
	switch (policy) {
		case 'cost': {
			return byCost(state, search, field, context);
		}

		case 'random': {
			return baseline(state, search, draw(open, 1, context)[0], context);
		}

		case 'round-robin': {
			const turn = state.routing.turns.get(search.wanted.id) ?? 0;
			return baseline(state, search, open[turn % open.length], context);
		}

		case 'least-requests': {
			return baseline(state, search, leastRequests(state, open, context), context);
		}

		default: {
			return assertNever(policy);
		}
	}
}

/** What the old scripts serve goes to them alone, and never to another failure domain. */
function upstreamsOf(state: State, {request, wanted, failureDomain}: Search): readonly Upstream[] {
	if (failureDomain === state.self.failureDomain) {
		return upstreamsFor(state, request);
	}

	return isLegacy(state, request) ? [] : domainUpstreams(state, wanted.id, failureDomain);
}

/**
 * @param state - Core state.
 * @param search - What is routed, and where to.
 * @param context - Time and random source.
 * @returns Where to send the request now, that it must wait, or that nothing there can run it.
 */
export function route(state: State, search: Search, context: Context): Route {
	const all = upstreamsOf(state, search);
	const needed = footprint(state, search.request);
	const fitting = all.filter(each => fits(each, needed));
	const open = usable(state, fitting, search, context);
	if (open.length === 0) {
		return {type: 'none', reason: fitting.length < all.length ? 'no engine is large enough' : 'no upstream in reach'};
	}

	const choice = choose(state, search, {all, open}, context);
	return choice === undefined ? {type: 'wait'} : {type: 'send', choice};
}

/**
 * @param state - Core state.
 * @param request - Request.
 * @returns Whether every engine of its service here is too small for it alone.
 */
export function needsGroup(state: State, request: Request): boolean {
	const wanted = service(state, request.service);
	if (wanted?.kind !== 'model') {
		return false;
	}

	const needed = footprint(state, request);
	const engines = upstreamsFor(state, request)
		.filter((each): each is Engine => each.kind === 'engine');
	return engines.length > 0 && engines.every(each => each.memory < needed);
}
