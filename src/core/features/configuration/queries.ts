/** Queries of the configuration in force. */
import {
	type Configuration, type Organisation, type Service, type Upstream,
} from '../../types/configuration.js';
import {type State} from '../../types/state.js';

type Index = {
	readonly services: ReadonlyMap<string, Service>;
	readonly organisations: ReadonlyMap<string, Organisation>;
	readonly upstreams: ReadonlyMap<string, Upstream>;
	/** Upstreams other than legacy ones, by service, then by failure domain. */
	readonly serving: ReadonlyMap<string, ReadonlyMap<string, readonly Upstream[]>>;
};

/** Indexes are built once per document, as documents are immutable. */
const indexes = new WeakMap<Configuration, Index>();

function indexById<T extends {readonly id: string}>(all: readonly T[]): ReadonlyMap<string, T> {
	return new Map(all.map(each => [each.id, each]));
}

function groupServingUpstreams(configuration: Configuration): Index['serving'] {
	const serving = new Map<string, Map<string, Upstream[]>>();
	for (const each of configuration.upstreams) {
		if (each.kind === 'legacy') {
			continue;
		}

		const domains = serving.get(each.service) ?? new Map<string, Upstream[]>();
		const list = domains.get(each.failureDomain) ?? [];
		list.push(each);
		domains.set(each.failureDomain, list);
		serving.set(each.service, domains);
	}

	return serving;
}

function getIndex(configuration: Configuration): Index {
	const cached = indexes.get(configuration);
	if (cached !== undefined) {
		return cached;
	}

	const created: Index = {
		services: indexById(configuration.services),
		organisations: indexById(configuration.organisations),
		upstreams: indexById(configuration.upstreams),
		serving: groupServingUpstreams(configuration),
	};
	indexes.set(configuration, created);
	return created;
}

function getCurrentIndex(state: State): Index | undefined {
	return state.configuration.inForce === undefined ? undefined : getIndex(state.configuration.inForce);
}

/**
 * @param state - Core state.
 * @returns The revision in force, or 0 before the first.
 */
export function getRevision(state: State): number {
	return state.configuration.inForce?.revision ?? 0;
}

/**
 * @param state - Core state.
 * @param id - Service.
 * @returns The service, if the configuration has it.
 */
export function findService(state: State, id: string): Service | undefined {
	return getCurrentIndex(state)?.services.get(id);
}

/**
 * @param state - Core state.
 * @param id - Organisation.
 * @returns The organisation, if the configuration has it.
 */
export function findOrganisation(state: State, id: string): Organisation | undefined {
	return getCurrentIndex(state)?.organisations.get(id);
}

/**
 * @param state - Core state.
 * @param id - Upstream.
 * @returns The upstream, if the configuration has it.
 */
export function findUpstream(state: State, id: string): Upstream | undefined {
	return getCurrentIndex(state)?.upstreams.get(id);
}

/**
 * @param state - Core state.
 * @param id - Service.
 * @returns Upstreams of the service in this host's own failure domain, without legacy ones.
 */
export function listOwnUpstreams(state: State, id: string): readonly Upstream[] {
	return listDomainUpstreams(state, id, state.self.failureDomain);
}

/**
 * @param state - Core state.
 * @param id - Service.
 * @param failureDomain - Failure domain.
 * @returns Upstreams of the service there, without legacy ones.
 */
export function listDomainUpstreams(state: State, id: string, failureDomain: string): readonly Upstream[] {
	return getCurrentIndex(state)?.serving.get(id)?.get(failureDomain) ?? [];
}
