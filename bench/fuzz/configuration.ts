/** The configuration of a simulation. */
import {configurationSchema, type Configuration} from '../../src/core/index.js';
import {type FakeUpstream} from './upstreams.js';

export const serviceId = 'bookings';
export const organisationId = 'paper';

/**
 * @param failureDomains - Ids of the failure domains.
 * @param upstreams - Upstreams of the one service.
 * @returns A configuration with these.
 */
export function createConfiguration(failureDomains: readonly string[], upstreams: readonly FakeUpstream[]): Configuration {
	return configurationSchema.parse({
		schema: 1,
		revision: 1,
		failureDomains: failureDomains.map(id => ({id, region: 'r'})),
		services: [{
			id: serviceId, kind: 'plain', deadline: {default: 3000, most: 10_000}, idempotent: false,
		}],
		organisations: [{id: organisationId, keyHashes: []}],
		upstreams: upstreams.map(({id, failureDomain, port}) => ({
			id, failureDomain, address: {host: 'upstream', port}, kind: 'plain', service: serviceId,
		})),
		tokenKeys: [{id: 'k', secret: '0'.repeat(64)}],
	});
}
