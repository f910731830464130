/** Moving in: who serves a service, failure domain and organisation. */
import {type Takeover, type Upstream} from '../../types/configuration.js';
import {type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {ownUpstreams} from '../configuration/queries.js';

export type ServingSystem = Takeover['servedBy'];

/** An organisation weighs more than a failure domain, both more than one of them. */
function specificity(rule: Takeover): number {
	return (rule.organisation === undefined ? 0 : 2) + (rule.failureDomain === undefined ? 0 : 1);
}

/**
 * The narrowest rule of the document in force that fits; of two as narrow, the later one.
 *
 * @param state - Core state.
 * @param request - Request.
 * @returns Who serves it here. The host that decides for a non-idempotent request is its ticket's or key's keeper.
 */
export function servedBy(state: State, request: Pick<Request, 'service' | 'organisation'>): ServingSystem {
	const {failureDomain} = state.self;
	const rules = (state.configuration.inForce?.takeovers ?? []).filter(rule =>
		rule.service === request.service
		&& (rule.failureDomain === undefined || rule.failureDomain === failureDomain)
		&& (rule.organisation === undefined || rule.organisation === request.organisation));
	const highest = Math.max(...rules.map(rule => specificity(rule)));
	return rules.findLast(rule => specificity(rule) === highest)?.servedBy ?? 'cranberrytide';
}

/**
 * @param state - Core state.
 * @param service - Service.
 * @returns Endpoints of the old scripts in this host's failure domain, those elsewhere if it has none.
 */
function legacyUpstreams(state: State, service: string): readonly Upstream[] {
	const all = (state.configuration.inForce?.upstreams ?? []).filter(upstream => upstream.kind === 'legacy' && upstream.service === service);
	const own = all.filter(upstream => upstream.failureDomain === state.self.failureDomain);
	return own.length > 0 ? own : all;
}

/**
 * @param state - Core state.
 * @param request - Request.
 * @returns Whether the old scripts serve it.
 */
export function isLegacy(state: State, request: Pick<Request, 'service' | 'organisation'>): boolean {
	return servedBy(state, request) === 'legacy';
}

/**
 * @param state - Core state.
 * @param request - Request.
 * @returns Upstreams in reach that may run it: those of the service, or the old scripts' endpoints.
 */
export function upstreamsFor(state: State, request: Pick<Request, 'service' | 'organisation'>): readonly Upstream[] {
	return isLegacy(state, request) ? legacyUpstreams(state, request.service) : ownUpstreams(state, request.service);
}
