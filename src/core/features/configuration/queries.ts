/** Reads the configuration in force. */
import {
	type Configuration, type Organisation, type Service, type Upstream,
} from '../../types/configuration.js';
import {type State} from '../../types/state.js';

type Index = {
	readonly services: ReadonlyMap<string, Service>;
	readonly organisations: ReadonlyMap<string, Organisation>;
	readonly upstreams: ReadonlyMap<string, Upstream>;
	/** Legacy ones left out; by service, then by failure domain. */
	readonly serving: ReadonlyMap<string, ReadonlyMap<string, readonly Upstream[]>>;
};

/** Derived from a document once; the document itself never changes. */
const indexes = new WeakMap<Configuration, Index>();

function byId<T extends {readonly id: string}>(all: readonly T[]): ReadonlyMap<string, T> {
	return new Map(all.map(each => [each.id, each]));
}

function servingUpstreams(configuration: Configuration): Index['serving'] {
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

function index(configuration: Configuration): Index {
	const known = indexes.get(configuration);
	if (known !== undefined) {
		return known;
	}

	const made: Index = {
		services: byId(configuration.services),
		organisations: byId(configuration.organisations),
		upstreams: byId(configuration.upstreams),
		serving: servingUpstreams(configuration),
	};
	indexes.set(configuration, made);
	return made;
}

function current(state: State): Index | undefined {
	return state.configuration.inForce === undefined ? undefined : index(state.configuration.inForce);
}

/**
 * @param state - Core state.
 * @returns The revision in force, or 0 before the first.
 */
export function revision(state: State): number {
	return state.configuration.inForce?.revision ?? 0;
}

/**
 * @param state - Core state.
 * @param id - Service.
 * @returns The service, if the configuration has it.
 */
export function service(state: State, id: string): Service | undefined {
	return current(state)?.services.get(id);
}

/**
 * @param state - Core state.
 * @param id - Organisation.
 * @returns The organisation, if the configuration has it.
 */
export function organisation(state: State, id: string): Organisation | undefined {
	return current(state)?.organisations.get(id);
}

/**
 * @param state - Core state.
 * @param id - Upstream.
 * @returns The upstream, if the configuration has it.
 */
export function upstream(state: State, id: string): Upstream | undefined {
	return current(state)?.upstreams.get(id);
}

/**
 * @param state - Core state.
 * @param id - Service.
 * @returns Upstreams of the service in this host's own failure domain, those of the old scripts left out.
 */
export function ownUpstreams(state: State, id: string): readonly Upstream[] {
	return domainUpstreams(state, id, state.self.failureDomain);
}

/**
 * @param state - Core state.
 * @param id - Service.
 * @param failureDomain - Failure domain.
 * @returns Upstreams of the service there, those of the old scripts left out.
 */
export function domainUpstreams(state: State, id: string, failureDomain: string): readonly Upstream[] {
	return current(state)?.serving.get(id)?.get(failureDomain) ?? [];
}
