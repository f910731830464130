/**
 * Selects which hosts are linked. A small fleet is a full mesh; in a large one, two hosts of each failure domain are relays, and all
 * other hosts of the domain are linked with them only.
 */
import {hashText, mixHashes} from '../../core/utils/hashes.js';
import {type Host} from './messages.js';

/**
 * Largest fleet in which every host is linked with every other one and sends its load updates to all. Messages grow with the square of
 * the hosts: 70 hosts, linked within their failure domains, exchanged 27,000 messages a second for 113 requests.
 */
export const maxFullMeshHosts = 14;

/** The first relay does the work; the second one takes over when the first fails or leaves. */
const relaysPerDomain = 2;

const relayHashKey = hashText('relays');

/** Largest capacity in processor cores that can be right: no machine has more. */
const maxCapacity = 1024;

/** Capacity of a host that doesn't state it, in processor cores. */
const defaultCapacity = 1;

type RelayCandidate = Pick<Host, 'capacity' | 'failureDomain' | 'name'>;

/**
 * @param capacity - Processor cores that a host states; absent if it states none.
 * @returns Whether they can be right.
 */
export function isPossibleCapacity(capacity: number | undefined): boolean {
	return capacity === undefined || (capacity > 0 && capacity <= maxCapacity);
}

/**
 * Selects the hosts with the most processor time. A relay handles the load updates of all hosts; on the weakest host this takes all
 * processor time under high load, and unsent messages fill its memory. A host that states an impossible capacity is selected only if all others do.
 *
 * @param failureDomain - Failure domain.
 * @param hosts - Candidates, of any failure domain.
 * @returns Relays of the failure domain in order of preference; the same on every host that knows the same candidates.
 */
export function selectRelays<T extends RelayCandidate>(failureDomain: string, hosts: readonly T[]): readonly T[] {
	const ofDomain = hosts.filter(host => host.failureDomain === failureDomain);
	const possible = ofDomain.filter(host => isPossibleCapacity(host.capacity));
	return (possible.length > 0 ? possible : ofDomain)
		.map(host => ({host, capacity: host.capacity ?? defaultCapacity, weight: mixHashes(relayHashKey, hashText(host.name))}))
		.toSorted((a, b) => b.capacity - a.capacity || b.weight - a.weight)
		.slice(0, relaysPerDomain)
		.map(each => each.host);
}

/**
 * @param self - This host.
 * @param others - Other hosts that are thought to be reachable.
 * @returns Hosts that this one links with in a large fleet.
 */
export function selectNeighbours<T extends RelayCandidate>(self: T, others: readonly T[]): readonly T[] {
	const ownRelays = selectRelays(self.failureDomain, [self, ...others]);
	const otherRelays = ownRelays.filter(host => host !== self);
	if (otherRelays.length === ownRelays.length) {
		return ownRelays;
	}

	const otherDomains = new Set(others.map(host => host.failureDomain));
	otherDomains.delete(self.failureDomain);
	return [...otherRelays, ...[...otherDomains].flatMap(domain => selectRelays(domain, others))];
}
