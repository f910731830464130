/** Decides whether Cranberrytide or the legacy scripts serve a service, failure domain and organisation during the migration. */
import {type Takeover, type Upstream} from '../../types/configuration.js';
import {type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {listOwnUpstreams} from '../configuration/queries.js';

export type ServingSystem = Takeover['servedBy'];

/** A rule for an organisation is more specific than one for a failure domain; a rule for both is the most specific. */
function specificity(rule: Takeover): number {
	return (rule.organisation === undefined ? 0 : 2) + (rule.failureDomain === undefined ? 0 : 1);
}

/**
 * Applies the most specific rule of the configuration in force that matches; of equally specific rules, the last one.
 * For a non-idempotent request, the keeper of its ticket or key decides.
 *
 * @returns The system that serves the request at this host.
 */
export function findServingSystem(state: State, request: Pick<Request, 'service' | 'organisation'>): ServingSystem {
	const {failureDomain} = state.self;
	const rules = (state.configuration.inForce?.takeovers ?? []).filter(rule =>
		rule.service === request.service
		&& (rule.failureDomain === undefined || rule.failureDomain === failureDomain)
		&& (rule.organisation === undefined || rule.organisation === request.organisation));
	const highest = Math.max(...rules.map(rule => specificity(rule)));
	return rules.findLast(rule => specificity(rule) === highest)?.servedBy ?? 'cranberrytide';
}

/** Returns the legacy endpoints in this host's failure domain, or those elsewhere if it has none. */
function legacyUpstreams(state: State, service: string): readonly Upstream[] {
	const all = (state.configuration.inForce?.upstreams ?? []).filter(upstream => upstream.kind === 'legacy' && upstream.service === service);
	const own = all.filter(upstream => upstream.failureDomain === state.self.failureDomain);
	return own.length > 0 ? own : all;
}

/** @returns Whether the legacy scripts serve the request. */
export function isServedByLegacy(state: State, request: Pick<Request, 'service' | 'organisation'>): boolean {
	return findServingSystem(state, request) === 'legacy';
}

/** @returns Upstreams in reach that may run the request: those of the service, or the legacy endpoints. */
export function upstreamsFor(state: State, request: Pick<Request, 'service' | 'organisation'>): readonly Upstream[] {
	return isServedByLegacy(state, request) ? legacyUpstreams(state, request.service) : listOwnUpstreams(state, request.service);
}
