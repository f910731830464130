/** Upstreams and positions of the store for tests. */
import {type Obstacle} from '../placement/eligibility.js';
import {type StorePosition} from '../registry/position.js';
import {type GatewayUpstream} from '../types.js';

/**
 * @param id - Id of the upstream.
 * @param change - Properties that replace the defaults.
 * @returns An upstream that is ready.
 */
export function createUpstream(id: string, change: Partial<GatewayUpstream> = {}): GatewayUpstream {
	return {
		id, service: 'model', address: {host: '127.0.0.1', port: 1}, failureDomain: 'a', slots: 1, isDraining: false, started: 1, ...change,
	};
}

/**
 * @param revision - Revision.
 * @returns A position in the history of a store that reports no eras.
 */
export function at(revision: number): StorePosition {
	return {era: 0, revision};
}

/**
 * @param upstream - Upstream.
 * @returns An obstacle if it is draining.
 */
export function findDeparture({isDraining}: GatewayUpstream): Obstacle | undefined {
	return isDraining ? {type: 'departure'} : undefined;
}
