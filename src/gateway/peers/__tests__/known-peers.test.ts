import {expect, it} from 'vitest';
import {KnownPeers} from '../known-peers.js';
import {type Host} from '../messages.js';

function host(port: number, name = `host-${port}`): Host {
	return {
		name, failureDomain: 'a', address: {host: 'h', port}, started: 1,
	};
}

it('counts identified peers as they are added, identified and removed', () => {
	const peers = new KnownPeers(host(1), 0);
	const count = () => [peers.hostCount, peers.hosts.length];
	peers.add({host: 'h', port: 2}, undefined, 0);
	peers.add({host: 'h', port: 1}, host(1), 0);
	expect(count()).toEqual([0, 0]);
	peers.add({host: 'h', port: 2}, host(2), 0);
	peers.add({host: 'h', port: 2}, host(2), 0);
	peers.markAlive(host(3), 0);
	peers.markAlive(host(3, 'host-3-renamed'), 0);
	peers.add({host: 'h', port: 4}, undefined, 0);
	expect(count()).toEqual([2, 2]);
	for (const [, peer] of peers.entries) {
		peers.removeExpired(peer, 70_000);
		peers.removeExpired(peer, 70_000);
	}

	expect(count()).toEqual([0, 0]);
});

it('dials an address with a foreign host after a delay that doubles up to a minute, also during startup', () => {
	const peers = new KnownPeers(host(1), 0);
	peers.add({host: 'h', port: 2}, host(2), 0);
	const peer = [...peers.entries][0]![1];
	const delays = [1, 2, 3, 4, 5, 6, 7, 8].map(() => {
		peers.markForeign(peer.address);
		peers.recordDial(peer, true, 100);
		return peer.nextDialAt - 100;
	});
	expect(delays).toEqual([1000, 2000, 4000, 8000, 16_000, 32_000, 60_000, 60_000]);
});

it('counts no host at an address where a foreign one answered, until a host of the fleet is linked there', () => {
	const peers = new KnownPeers(host(1), 0);
	peers.add({host: 'h', port: 2}, host(2), 0);
	peers.markForeign({host: 'h', port: 2});
	peers.markForeign({host: 'h', port: 9});
	peers.add({host: 'h', port: 2}, host(2), 0);
	expect([peers.hostCount, peers.hosts, peers.reachableHosts]).toEqual([0, [], []]);
	peers.markAlive(host(2), 0);
	expect([peers.hostCount, peers.hosts.length]).toEqual([1, 1]);
});
