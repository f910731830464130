/** Who is linked with whom. In a large fleet two hosts of each failure domain relay, and the others are linked with these. */
import {hashText, mix} from '../../core/utils/hashes.js';
import {type Host} from './messages.js';

/**
 * Hosts up to which each is linked with each other one and tells all of them of its load. Beyond it the messages would grow
 * with the square of the hosts: 70 hosts, linked within their domains, exchanged 27,000 messages a second for 113 requests.
 */
export const smallFleet = 14;

/** Relays of a failure domain: the first one works, the other one takes over when it is gone. */
const relaysPerDomain = 2;

const relayKey = hashText('relays');

/** Capacity of a host that does not tell its own. */
const usualCapacity = 1;

type Placed = Pick<Host, 'capacity' | 'failureDomain' | 'name'>;

/**
 * The hosts with the most processor time relay: a relay handles the news of all hosts, which on the weakest takes all of its time
 * while callers press, until what it has yet to send fills its memory.
 *
 * @param failureDomain - Failure domain.
 * @param hosts - Hosts that may relay, of any failure domain.
 * @returns Its relays, the first choice first; alike wherever the same hosts are known.
 */
export function relaysOf<T extends Placed>(failureDomain: string, hosts: readonly T[]): readonly T[] {
	return hosts
		.filter(host => host.failureDomain === failureDomain)
		.map(host => ({host, capacity: host.capacity ?? usualCapacity, weight: mix(relayKey, hashText(host.name))}))
		.toSorted((a, b) => b.capacity - a.capacity || b.weight - a.weight)
		.slice(0, relaysPerDomain)
		.map(each => each.host);
}

/**
 * @param self - This host.
 * @param others - Other hosts that can be reached, as far as is known.
 * @returns Hosts that it links itself with in a large fleet.
 */
export function neighbours<T extends Placed>(self: T, others: readonly T[]): readonly T[] {
	const own = relaysOf(self.failureDomain, [self, ...others]);
	const linked = own.filter(host => host !== self);
	if (linked.length === own.length) {
		return own;
	}

	const foreign = new Set(others.map(host => host.failureDomain));
	foreign.delete(self.failureDomain);
	return [...linked, ...[...foreign].flatMap(domain => relaysOf(domain, others))];
}
