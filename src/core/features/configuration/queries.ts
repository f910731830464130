/** Reads the configuration in force. */
import {type Organisation, type Service, type Upstream} from '../../types/configuration.js';
import {type State} from '../../types/state.js';

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
	return state.configuration.inForce?.services.find(each => each.id === id);
}

/**
 * @param state - Core state.
 * @param id - Organisation.
 * @returns The organisation, if the configuration has it.
 */
export function organisation(state: State, id: string): Organisation | undefined {
	return state.configuration.inForce?.organisations.find(each => each.id === id);
}

/**
 * @param state - Core state.
 * @param id - Upstream.
 * @returns The upstream, if the configuration has it.
 */
export function upstream(state: State, id: string): Upstream | undefined {
	return state.configuration.inForce?.upstreams.find(each => each.id === id);
}

/**
 * @param state - Core state.
 * @param id - Service.
 * @returns Upstreams of the service in this host's own failure domain, those of the old scripts left out.
 */
export function ownUpstreams(state: State, id: string): readonly Upstream[] {
	const all = state.configuration.inForce?.upstreams ?? [];
	return all.filter(each =>
		each.service === id
		&& each.kind !== 'legacy'
		&& each.failureDomain === state.self.failureDomain);
}
