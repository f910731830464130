import {describe, expect, it} from 'vitest';
import {listLivePeers} from '../../../core/features/membership/queries.js';
import {createDocument, SimulatedNetwork} from '../../../core/__tests__/network.js';
import {encodeFrame} from '../../../protocol/peers.js';

describe('cost of membership', () => {
	it.each([7, 42])('stays under 10 KB per second for a host in a failure domain of %i hosts', size => {
		const network = new SimulatedNetwork();
		const hosts = [...Array.from({length: size}, (_, index) => `a${index}`), 'b1', 'b2', 'c1', 'c2'];
		for (const host of hosts) {
			network.addHost(host, host[0]!);
		}

		network.sendHostList(...hosts);
		network.publishConfiguration(createDocument(1), ...hosts);
		network.run(30_000);
		expect(hosts.map(host => listLivePeers(network.state(host)).length)).toEqual(hosts.map(() => hosts.length - 1));
		const from = network.now;
		network.run(10_000);
		const bytes = new Map<string, number>();
		for (const {at, from: host, message} of network.sent) {
			if (at > from) {
				bytes.set(host, (bytes.get(host) ?? 0) + encodeFrame(message).length);
			}
		}

		const perSecond = [...bytes.values()].map(sum => sum / 10);
		expect(Math.max(...perSecond)).toBeLessThan(10_000);
	});
});
