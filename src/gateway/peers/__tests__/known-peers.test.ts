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
