/** Selection of links: the same on every host, and with few links per host in a large fleet. */
import {describe, expect, it} from 'vitest';
import {createMessageReader, encode, type Host} from '../messages.js';
import {selectNeighbours, selectRelays} from '../topology.js';

function createFleet(domains: number, perDomain: number): readonly Host[] {
	return Array.from({length: domains * perDomain}, (_, index) => ({
		name: `host-${index}`,
		failureDomain: `domain-${index % domains}`,
		address: {host: '127.0.0.1', port: 1 + index},
		started: 1,
	}));
}

function selectLinks(hosts: readonly Host[]): ReadonlyMap<string, readonly Host[]> {
	return new Map(hosts.map(host => [host.name, selectNeighbours(host, hosts.filter(each => each !== host))]));
}

describe('links of a large fleet', () => {
	it.each([[3, 10], [4, 18], [8, 43]])('are two per host, and a few more for relays (%i domains of %i)', (domains, perDomain) => {
		const hosts = createFleet(domains, perDomain);
		const links = selectLinks(hosts);
		for (const host of hosts) {
			const isRelay = selectRelays(host.failureDomain, hosts).includes(host);
			expect(links.get(host.name)).toHaveLength(isRelay ? 1 + (2 * (domains - 1)) : 2);
		}
	});

	it('connect all hosts while any one host is down', () => {
		const all = createFleet(4, 18);
		for (const stopped of all) {
			const hosts = all.filter(host => host !== stopped);
			const links = selectLinks(hosts);
			const reached = new Set<string>();
			const next = [hosts[0]!.name];
			const both = new Map<string, Set<string>>();
			for (const [name, linked] of links) {
				for (const other of linked) {
					both.set(name, (both.get(name) ?? new Set()).add(other.name));
					both.set(other.name, (both.get(other.name) ?? new Set()).add(name));
				}
			}

			for (let name = next.pop(); name !== undefined; name = next.pop()) {
				if (!reached.has(name)) {
					reached.add(name);
					next.push(...both.get(name) ?? []);
				}
			}

			expect(reached.size).toBe(hosts.length);
		}
	});

	it('lead through the hosts with the most processor time, and through others only when these are down', () => {
		const hosts = createFleet(1, 20).map((host, index) => ({...host, capacity: [4, 11].includes(index) ? 1.35 : 0.324}));
		const names = (among: readonly Host[]) => selectRelays('domain-0', among).map(host => host.name);
		expect(names(hosts).toSorted()).toEqual(['host-11', 'host-4']);
		const [first, second] = names(hosts.filter(host => host.name !== 'host-4'));
		expect([first, second]).toEqual(['host-11', names(hosts.filter(host => host.capacity < 1))[0]]);
	});

	it('change only when a relay is added or removed', () => {
		const hosts = createFleet(4, 18);
		const before = selectLinks(hosts);
		const plain = hosts.find(host => !selectRelays(host.failureDomain, hosts).includes(host))!;
		const after = selectLinks(hosts.filter(host => host !== plain));
		for (const [name, linked] of after) {
			expect(new Set(linked)).toEqual(new Set(before.get(name)));
		}
	});
});

describe('a host that states an impossible capacity', () => {
	const impossible = [0, -1, 1024.5, Number.NaN, Number.POSITIVE_INFINITY];

	// Guards against a wrong setting on one host that makes it the relay of its failure domain.
	it.each(impossible)('is no relay (%d cores)', capacity => {
		const hosts = createFleet(1, 20).map((host, index) => index === 7 ? {...host, capacity} : host);
		expect(selectRelays('domain-0', hosts).map(host => host.name)).not.toContain('host-7');
		expect(selectRelays('domain-0', hosts.slice(7, 8))).toHaveLength(1);
	});

	it('is linked like any other, and the messages that name it are valid', () => {
		const [from, ...known] = createFleet(1, 1 + impossible.length).map((host, index) => index === 0 ? host : {...host, capacity: impossible[index - 1]});
		const [hello] = createMessageReader().push(encode({type: 'hello', from: from!, known}));
		expect(hello).toMatchObject({type: 'hello', known: [{capacity: 0}, {capacity: -1}, {capacity: 1024.5}, {capacity: 0}, {capacity: 0}]});
		expect(hello?.type === 'hello' && 'capacity' in hello.from).toBe(false);
	});
});
