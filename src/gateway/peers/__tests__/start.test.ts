/** Hosts that start together, as after a loss of power: each is to hear of the others before callers come back. */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {takePort} from '../../../../bench/fleet/ports.js';
import {ignore} from '../../../entry/ignore.js';
import {type Host} from '../messages.js';
import {Peers} from '../peers.js';

const loopback = '127.0.0.1';

function peersOf(name: string, port: number, seeds: readonly number[]): Peers {
	const self: Host = {
		name, failureDomain: 'a', address: {host: loopback, port}, started: 1,
	};
	return new Peers({
		self, seeds: seeds.map(seed => ({host: loopback, port: seed})), log: {write: ignore}, now: () => performance.now(), events: {joined: ignore, message: ignore, lost: ignore},
	});
}

it('a host that was there before its seed is linked soon after the seed has come', async () => {
	const [early, seed] = [await takePort(), await takePort()];
	await using first = peersOf('early', early, [seed]);
	await first.start();
	await sleep(150);
	await using second = peersOf('seed', seed, [seed]);
	await second.start();
	const began = performance.now();
	await expect.poll(() => first.hosts.length, {interval: 10, timeout: 4000}).toBe(1);
	// Dialled again at the next heartbeat but one, it took 850 ms.
	expect(performance.now() - began).toBeLessThan(600);
});

it('hosts that hear of each other from a seed are linked at once', async () => {
	const ports = [await takePort(), await takePort(), await takePort()] as const;
	await using seed = peersOf('seed', ports[0], [ports[0]]);
	await seed.start();
	await using first = peersOf('first', ports[1], [ports[0]]);
	await first.start();
	await using second = peersOf('second', ports[2], [ports[0]]);
	await second.start();
	const began = performance.now();
	await expect.poll(() => first.hosts.length + second.hosts.length, {interval: 10, timeout: 4000}).toBe(4);
	// At the next heartbeat it took up to 500 ms.
	expect(performance.now() - began).toBeLessThan(350);
});
