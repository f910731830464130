/** Finds what is valid but dangerous: in a document by itself, and in a change from the one before. */
import {type Configuration} from '../../core/index.js';
import {changeDangers} from './dangers.js';
import {groupBy} from './group.js';
import {type Warning} from './warning.js';

/**
 * @param after - A valid document.
 * @param before - The document that it follows, if there is one.
 * @returns Every danger found.
 */
export function warningsOf(after: Configuration, before?: Configuration): readonly Warning[] {
	return [
		...(before === undefined ? [] : changeDangers(before, after)),
		...unservedServices(after),
		...crowdedDomains(after),
		...shortGraces(after),
		...openOrganisations(after),
		...distantEndpoints(after),
		...disagreements(after),
	];
}

function unservedServices(configuration: Configuration): readonly Warning[] {
	const served = new Set(configuration.upstreams.map(each => each.service));
	return configuration.services
		.filter(service => !served.has(service.id))
		.map(service => ({type: 'service-without-upstream', service: service.id}));
}

/** Where as many engines must stay ready as there are, none may stop or change its version. */
function crowdedDomains(configuration: Configuration): readonly Warning[] {
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

function shortGraces(configuration: Configuration): readonly Warning[] {
	const services = new Map(configuration.services.map(each => [each.id, each]));
	const longest = Math.max(0, ...configuration.services.map(each => each.deadline.most));
	return configuration.plannedStops.flatMap(({id, target, grace}) => {
		const stopping = target.kind === 'upstream' ? configuration.upstreams.find(each => each.id === target.id) : undefined;
		const deadline = stopping === undefined ? longest : services.get(stopping.service)?.deadline.most ?? 0;
		return grace < deadline
			? [{
				type: 'grace-below-deadline', stop: id, grace, deadline,
			}]
			: [];
	});
}

function openOrganisations(configuration: Configuration): readonly Warning[] {
	return configuration.organisations
		.filter(organisation => organisation.keyHashes.length === 0)
		.map(organisation => ({type: 'organisation-without-key', organisation: organisation.id}));
}

function distantEndpoints({takeovers, upstreams, failureDomains}: Configuration): readonly Warning[] {
	const near = new Set(upstreams.filter(each => each.kind === 'legacy').map(each => `${each.service} ${each.failureDomain}`));
	const needed = takeovers
		.filter(each => each.servedBy === 'legacy')
		.flatMap(({service, failureDomain}) => failureDomains
			.filter(({id}) => failureDomain === undefined || failureDomain === id)
			.map(({id}) => [`${service} ${id}`, {type: 'old-endpoint-elsewhere', service, failureDomain: id}] as const));
	return [...new Map<string, Warning>(needed)].filter(([key]) => !near.has(key)).map(([, warning]) => warning);
}

/** Of a rule for an organisation and one for a failure domain, the organisation's counts where both apply. */
function disagreements({takeovers}: Configuration): readonly Warning[] {
	const byDomain = takeovers.filter(each => each.organisation === undefined && each.failureDomain !== undefined);
	const byOrganisation = takeovers.filter(each => each.organisation !== undefined && each.failureDomain === undefined);
	const settled = new Set(takeovers.map(each => JSON.stringify([each.service, each.failureDomain, each.organisation])));
	return byOrganisation.flatMap(({service, organisation, servedBy}) => byDomain
		.filter(each => each.service === service && each.servedBy !== servedBy)
		.filter(each => !settled.has(JSON.stringify([service, each.failureDomain, organisation])))
		.map(each => ({
			type: 'takeovers-disagree', service, failureDomain: each.failureDomain!, organisation: organisation!, servedBy,
		})));
}
