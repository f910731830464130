import {describe, expect, it} from 'vitest';
import {
	isSuperseded,
	listLivePeers,
	getPeersWork,
	listReachableDomains,
	listServingHosts,
} from '../features/membership/queries.js';
import {type Attempt} from '../types/request.js';
import {maxRouteHops, findNextHop} from '../features/membership/routes.js';
import {createDocument, SimulatedNetwork} from './network.js';

function createFleet(sizes: Readonly<Record<string, number>>, seed = 1) {
	const network = new SimulatedNetwork(seed);
	const hosts: string[] = [];
	for (const [domain, size] of Object.entries(sizes)) {
		for (let index = 1; index <= size; index++) {
			const host = `${domain}${index}`;
			network.addHost(host, domain);
			hosts.push(host);
		}
	}

	network.sendHostList(...hosts);
	network.publishConfiguration(createDocument(1), ...hosts);
	return {network, hosts};
}

function statusOf(network: SimulatedNetwork, host: string, peer: string) {
	return network.state(host).membership.peers.get(peer)?.status;
}

function areAllLive(network: SimulatedNetwork, hosts: readonly string[]) {
	return hosts.every(host => listLivePeers(network.state(host)).length === hosts.length - 1);
}

describe('membership', () => {
	it('discovers every host from a seed list with one', () => {
		const network = new SimulatedNetwork();
		for (const host of ['a1', 'a2', 'a3', 'b1', 'b2']) {
			network.addHost(host, host[0]!);
		}

		const hosts = [...network.nodes.keys()];
		const seed = network.nodes.get('a1')!.member;
		for (const host of hosts) {
			network.dispatch(host, {type: 'seeds-given', addresses: [seed.peerAddress]});
		}

		network.publishConfiguration(createDocument(1), 'a1');
		expect(network.run(10_000, () => areAllLive(network, hosts))).toBe(true);
		expect(listReachableDomains(network.state('b2'))).toEqual(['a', 'b']);
	});

	it('keeps a responsive peer that the host list drops', () => {
		const {network, hosts} = createFleet({a: 3});
		expect(network.run(5000, () => areAllLive(network, hosts))).toBe(true);
		network.dispatch('a1', {type: 'hosts-listed', members: [], leaving: []});
		network.run(20_000);
		expect(areAllLive(network, hosts)).toBe(true);
	});

	it('suspects a dead host at once and a paused one after a silence, and restores the paused one when it resumes', () => {
		const {network, hosts} = createFleet({a: 4});
		network.run(5000);
		network.removeHost('a2');
		expect(statusOf(network, 'a1', 'a2')).toBe('suspect');
		network.pause('a3');
		expect(network.run(4000, () => statusOf(network, 'a1', 'a3') === 'suspect')).toBe(true);
		network.run(20_000);
		expect(statusOf(network, 'a1', 'a3')).toBe('gone');
		expect(isSuperseded(network.state('a1'), network.nodes.get('a3')!.member.incarnation)).toBe(false);
		network.resume('a3', 24_000);
		const rest = hosts.filter(host => host !== 'a2');
		expect(network.run(8000, () => rest.every(host => listLivePeers(network.state(host)).length === 2))).toBe(true);
	});

	it('considers a replaced incarnation certainly dead, also on hosts without a link to the new one', () => {
		const {network} = createFleet({a: 3, b: 2});
		network.run(5000);
		const old = network.nodes.get('a2')!.member.incarnation;
		network.addHost('a2', 'a');
		network.sendHostList('a2', 'a1');
		network.publishConfiguration(createDocument(1), 'a2');
		network.run(5000);
		for (const host of ['a1', 'a3', 'b1', 'b2']) {
			expect(isSuperseded(network.state(host), old)).toBe(true);
		}

		const departures = network.effects.filter(({effect}) => effect.type === 'log' && effect.decision.type === 'member' && effect.decision.change === 'replaced');
		expect(departures).toHaveLength(4);
	});

	it('leaves gracefully when a newer incarnation has its name', () => {
		const {network} = createFleet({a: 2});
		network.run(3000);
		const {member} = network.nodes.get('a1')!;
		const newer = {...member, incarnation: {host: 'a1', started: member.incarnation.started + 60_000}};
		network.dispatch('a1', {type: 'hosts-listed', members: [newer], leaving: []});
		expect(network.state('a1').membership.phase).toBe('leaving');
	});

	it.each([1, 2, 3])('reconverges within seconds after a partition of two minutes without a platform (seed %i)', seed => {
		const {network, hosts} = createFleet({a: 3, b: 3, c: 3}, seed);
		expect(network.run(8000, () => areAllLive(network, hosts))).toBe(true);
		network.partition((a, b) => a.failureDomain !== b.failureDomain);
		network.run(120_000);
		expect(listLivePeers(network.state('a1'))).toHaveLength(2);
		network.publishConfiguration(createDocument(2), 'c1');
		network.partition(() => false);
		expect(network.run(10_000, () => areAllLive(network, hosts))).toBe(true);
		expect(hosts.map(host => network.state(host).configuration.inForce?.revision)).toEqual(hosts.map(() => 2));
	});

	it('announces leaving at once, and no host considers it serving 1.5 s later', () => {
		const {network, hosts} = createFleet({a: 12, b: 3});
		network.run(30_000);
		network.dispatch('a5', {type: 'stop-asked', grace: 60_000});
		expect(network.effects.some(({host, effect}) => host === 'a5' && effect.type === 'ready' && !effect.ready)).toBe(true);
		network.run(1500);
		for (const host of hosts) {
			expect(listServingHosts(network.state(host), 'a').map(member => member.incarnation.host)).not.toContain('a5');
		}

		expect(network.run(3000, () => !network.nodes.has('a5'))).toBe(true);
	});

	it('finds a route to every host of a large failure domain and of others, within the maximum length', () => {
		const {network, hosts} = createFleet({a: 24, b: 12, c: 3});
		network.run(8000);
		let longest = 0;
		for (const from of hosts) {
			for (const to of hosts) {
				let at = from;
				for (let hops = 0; at !== to && hops <= maxRouteHops; hops++) {
					const next = findNextHop(network.state(at), to, at === from ? undefined : from);
					expect(next).toBeDefined();
					at = next!;
					longest = Math.max(longest, hops + 1);
				}

				expect(at).toBe(to);
			}
		}

		expect(longest).toBeLessThanOrEqual(maxRouteHops);
	});

	it('publishes changes of its work, and removes the work of a lost host', () => {
		const {network} = createFleet({a: 3});
		network.run(3000);
		const attempt: Attempt = {
			id: 'r.1', request: 'r', upstream: 'e', began: 0, prefill: 700, decode: 300, prefillAhead: 0, length: 'short', written: false, received: 0,
		};
		const request = {
			id: 'r', organisation: 'o', service: 's', priority: 1, arrival: 0, deadline: 1e9, promptTokens: 700, blocks: [], proof: {type: 'idempotent'}, fingerprint: 'f',
		} as const;
		network.dispatch('a1', {type: 'attempt-began', request, attempt});
		network.run(1000);
		expect(getPeersWork(network.state('a2'), 'e')).toBe(1000);
		network.dispatch('a2', {type: 'attempt-began', request, attempt});
		network.run(1000);
		expect(getPeersWork(network.state('a3'), 'e')).toBe(2000);
		network.dispatch('a2', {
			type: 'attempt-over', request, attempt, ending: {type: 'done', tokens: 1},
		});
		network.run(1000);
		expect(getPeersWork(network.state('a3'), 'e')).toBe(1000);
		network.removeHost('a1');
		expect(getPeersWork(network.state('a3'), 'e')).toBe(0);
	});
});
