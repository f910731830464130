/** Finds what is valid but dangerous in a document and in the change from the previous one. */
import {type Configuration} from '../../core/index.js';
import {findChangeWarnings} from './change-warnings.js';
import {groupBy} from './group.js';
import {type Warning} from './warning.js';

/**
 * @param after - A valid document.
 * @param before - The previous document, if there is one.
 * @returns All warnings.
 */
export function findWarnings(after: Configuration, before?: Configuration): readonly Warning[] {
	return [
		...(before === undefined ? [] : findChangeWarnings(before, after)),
		...findServicesWithoutUpstream(after),
		...findDomainsWithoutSpareEngine(after),
		...findShortGraces(after),
		...findOrganisationsWithoutKey(after),
		...findMissingOldEndpoints(after),
		...findDisagreeingTakeovers(after),
	];
}

function findServicesWithoutUpstream(configuration: Configuration): readonly Warning[] {
	const served = new Set(configuration.upstreams.map(each => each.service));
	return configuration.services
		.filter(service => !served.has(service.id))
		.map(service => ({type: 'service-without-upstream', service: service.id}));
}

/** If all engines of a failure domain must stay ready, none may stop or change its version. */
function findDomainsWithoutSpareEngine(configuration: Configuration): readonly Warning[] {
	return configuration.services.flatMap(service => {
		if (service.kind !== 'model') {
			return [];
		}

		const engines = configuration.upstreams.filter(each => each.kind === 'engine' && each.service === service.id);
		return [...groupBy(engines, each => each.failureDomain)]
			.filter(([, members]) => members.length === service.readyEngines)
			.map(([failureDomain]) => ({
				type: 'no-engine-to-spare', service: service.id, failureDomain, readyEngines: service.readyEngines,
			}));
	});
}

function findShortGraces(configuration: Configuration): readonly Warning[] {
	const services = new Map(configuration.services.map(each => [each.id, each]));
	const longestDeadline = Math.max(0, ...configuration.services.map(each => each.deadline.most));
	return configuration.plannedStops.flatMap(({id, target, grace}) => {
		const stoppedUpstream = target.kind === 'upstream' ? configuration.upstreams.find(each => each.id === target.id) : undefined;
		const deadline = stoppedUpstream === undefined ? longestDeadline : services.get(stoppedUpstream.service)?.deadline.most ?? 0;
		return grace < deadline
			? [{
				type: 'grace-below-deadline', stop: id, grace, deadline,
			}]
			: [];
	});
}

function findOrganisationsWithoutKey(configuration: Configuration): readonly Warning[] {
	return configuration.organisations
		.filter(organisation => organisation.keyHashes.length === 0)
		.map(organisation => ({type: 'organisation-without-key', organisation: organisation.id}));
}

function findMissingOldEndpoints({takeovers, upstreams, failureDomains}: Configuration): readonly Warning[] {
	const available = new Set(upstreams.filter(each => each.kind === 'legacy').map(each => `${each.service} ${each.failureDomain}`));
	const needed = takeovers
		.filter(each => each.servedBy === 'legacy')
		.flatMap(({service, failureDomain}) => failureDomains
			.filter(({id}) => failureDomain === undefined || failureDomain === id)
			.map(({id}) => [`${service} ${id}`, {type: 'old-endpoint-elsewhere', service, failureDomain: id}] as const));
	return [...new Map<string, Warning>(needed)].filter(([key]) => !available.has(key)).map(([, warning]) => warning);
}

/** If a takeover for an organisation and one for a failure domain both apply, the one for the organisation takes precedence. */
function findDisagreeingTakeovers({takeovers}: Configuration): readonly Warning[] {
	const byDomain = takeovers.filter(each => each.organisation === undefined && each.failureDomain !== undefined);
	const byOrganisation = takeovers.filter(each => each.organisation !== undefined && each.failureDomain === undefined);
	const explicitScopes = new Set(takeovers.map(each => JSON.stringify([each.service, each.failureDomain, each.organisation])));
	return byOrganisation.flatMap(({service, organisation, servedBy}) => byDomain
		.filter(each => each.service === service && each.servedBy !== servedBy)
		.filter(each => !explicitScopes.has(JSON.stringify([service, each.failureDomain, organisation])))
		.map(each => ({
			type: 'takeovers-disagree', service, failureDomain: each.failureDomain!, organisation: organisation!, servedBy,
		})));
}
