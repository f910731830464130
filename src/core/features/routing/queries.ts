/** Chooses an upstream for a request according to the service's routing policy. */
import {type Engine, type Service, type Upstream} from '../../types/configuration.js';
import {type Request} from '../../types/request.js';
import {type StepContext, type State} from '../../types/state.js';
import {assertNever} from '../../utils/common.js';
import {listDomainUpstreams, findService} from '../configuration/queries.js';
import {findCachedTokens} from '../prefixes/queries.js';
import {isServedByLegacy, upstreamsFor} from '../takeover/queries.js';
import {getView} from '../upstreams/queries.js';
import {estimateOutput} from '../work/queries.js';
import {sample, findEngineCandidates, findUsable} from './candidates.js';
import {
	countTokensAhead, hasRoom, assessUpstream, scoreUpstream, type Prompt, type Assessment,
} from './score.js';
import {getLengthClass} from './segments.js';
import {type Choice, type Route, type Search} from './types.js';

/** Candidates written to the decision log. */
const maxLoggedCandidates = 5;

/** Plain upstreams that are sampled and scored. */
const plainSampleSize = 4;

/**
 * @param state - Core state.
 * @param request - Request.
 * @returns KV memory that the request will need, in tokens.
 */
export function estimateFootprint(state: State, request: Request): number {
	return request.promptTokens + estimateOutput(state, request);
}

/**
 * @param upstream - Upstream.
 * @param needed - KV memory needed, in tokens.
 * @returns Whether the upstream alone has enough memory, whatever else runs there; always true if it is not an engine.
 */
export function canFit(upstream: Upstream, needed: number): boolean {
	return upstream.kind !== 'engine' || upstream.memory >= needed;
}

function chooseBest(state: State, assessments: readonly Assessment[], requestedService: Service, reason: string): Choice | undefined {
	const scored = assessments
		.map(assessment => ({assessment, score: scoreUpstream(state, assessment, requestedService)}))
		.toSorted((a, b) => a.score - b.score);
	const best = scored[0];
	if (best === undefined) {
		return undefined;
	}

	const {upstream, cached} = best.assessment;
	const candidates = scored.slice(0, maxLoggedCandidates)
		.map(each => ({upstream: each.assessment.upstream.id, score: Math.round(each.score)}));
	return {
		upstream, cached, candidates, prefillAhead: Math.round(countTokensAhead(best.assessment)), reason,
	};
}

/** Upstreams among which a search chooses. */
type SearchedUpstreams = {
	/** In the order of the configuration. */
	readonly all: readonly Upstream[];
	/** The subset of `all` that can take the request. */
	readonly usable: readonly Upstream[];
};

function describePrompt(state: State, search: Search): Prompt {
	const {request, requestedService} = search;
	return {
		tokens: request.promptTokens,
		length: getLengthClass(requestedService, request.promptTokens),
		cached: requestedService.kind === 'model' ? findCachedTokens(state, request) : new Map(),
	};
}

function chooseByCost(state: State, search: Search, {all, usable}: SearchedUpstreams, context: StepContext): Choice | undefined {
	const {request, requestedService} = search;
	const prompt = describePrompt(state, search);
	if (requestedService.kind === 'plain' || isServedByLegacy(state, request)) {
		const assessments = sample(usable, plainSampleSize, context).map(each => assessUpstream(state, each, prompt, context.now));
		return chooseBest(state, assessments.filter(each => hasRoom(each, 0)), requestedService, 'least work of those sampled');
	}

	const assessments = findEngineCandidates({
		state, request, requestedService, all, usable, prompt, context,
	});
	const needed = estimateFootprint(state, request);
	return chooseBest(state, assessments.filter(each => hasRoom(each, needed)), requestedService, 'lowest cost');
}

/** Baseline policies ignore whether the upstream has room: requests queue at the upstream instead of at the host. */
function chooseBaseline(state: State, search: Search, upstream: Upstream | undefined, {now}: StepContext): Choice | undefined {
	const assessments = upstream === undefined ? [] : [assessUpstream(state, upstream, describePrompt(state, search), now)];
	return chooseBest(state, assessments, search.requestedService, search.requestedService.policy);
}

function findLeastLoaded(state: State, upstreams: readonly Upstream[], context: StepContext): Upstream | undefined {
	return sample(upstreams, upstreams.length, context)
		.toSorted((a, b) => getView(state, a.id).requests - getView(state, b.id).requests)[0];
}

function choose(state: State, search: Search, upstreams: SearchedUpstreams, context: StepContext): Choice | undefined {
	const {policy} = search.requestedService;
	const {usable} = upstreams;
	switch (policy) {
		case 'cost': {
			return chooseByCost(state, search, upstreams, context);
		}

		case 'random': {
			return chooseBaseline(state, search, sample(usable, 1, context)[0], context);
		}

		case 'round-robin': {
			const turn = state.routing.turns.get(search.requestedService.id) ?? 0;
			return chooseBaseline(state, search, usable[turn % usable.length], context);
		}

		case 'least-requests': {
			return chooseBaseline(state, search, findLeastLoaded(state, usable, context), context);
		}

		default: {
			return assertNever(policy);
		}
	}
}

/** Lists the upstreams of the search's failure domain. Legacy requests run only at legacy upstreams of this domain. */
function listUpstreams(state: State, {request, requestedService, failureDomain}: Search): readonly Upstream[] {
	if (failureDomain === state.self.failureDomain) {
		return upstreamsFor(state, request);
	}

	return isServedByLegacy(state, request) ? [] : listDomainUpstreams(state, requestedService.id, failureDomain);
}

/**
 * @param state - Core state.
 * @param search - Request and failure domain.
 * @param context - Time and random source.
 * @returns The chosen upstream, or that the request must wait, or that no upstream there can run it.
 */
export function route(state: State, search: Search, context: StepContext): Route {
	const all = listUpstreams(state, search);
	const needed = estimateFootprint(state, search.request);
	const fitting = all.filter(each => canFit(each, needed));
	const usable = findUsable(state, fitting, search, context);
	if (usable.length === 0) {
		return {type: 'none', reason: fitting.length < all.length ? 'no engine is large enough' : 'no upstream in reach'};
	}

	const choice = choose(state, search, {all, usable}, context);
	return choice === undefined ? {type: 'wait'} : {type: 'send', choice};
}

/**
 * @param state - Core state.
 * @param request - Request.
 * @returns Whether each engine of its service in this failure domain is too small for it, so that it needs several.
 */
export function needsGroup(state: State, request: Request): boolean {
	const requestedService = findService(state, request.service);
	if (requestedService?.kind !== 'model') {
		return false;
	}

	const needed = estimateFootprint(state, request);
	const engines = upstreamsFor(state, request)
		.filter((each): each is Engine => each.kind === 'engine');
	return engines.length > 0 && engines.every(each => each.memory < needed);
}
