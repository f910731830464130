/** Hosts that start together, as after a power failure, must discover each other before callers return. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {claimWorkerPort} from '../../../../bench/fleet/ports.js';
import {ignore} from '../../../entry/ignore.js';
import {type Host} from '../messages.js';
import {Peers} from '../peers.js';

const loopback = '127.0.0.1';

/** Milliseconds on the hosts' clock: heartbeats are sent every 500 ms, and only when the test advances the clock. */
let clock = 0;

beforeEach(() => {
	clock = 0;
	vi.useFakeTimers({toFake: ['setInterval', 'clearInterval']});
});

afterEach(() => {
	vi.useRealTimers();
});

function advance(time: number): void {
	clock += time;
	vi.advanceTimersByTime(time);
}

function peersOf(name: string, port: number, seed: number): Peers {
	const self: Host = {
		name, failureDomain: 'a', address: {host: loopback, port}, started: 1,
	};
	return new Peers({
		self, seeds: [{host: loopback, port: seed}], log: {write: ignore}, now: () => clock, events: {joined: ignore, message: ignore, lost: ignore},
	});
}

async function expectLinked(peers: Peers, count: number): Promise<void> {
	for (const end = performance.now() + 5000; performance.now() < end && peers.hosts.length < count;) {
		await sleep(5);
	}

	expect(peers.hosts.length).toBe(count);
}

it('a host that started before its seed is linked before the next heartbeat', async () => {
	const [early, seed] = [await claimWorkerPort(), await claimWorkerPort()];
	await using first = peersOf('early', early, seed);
	await first.start();
	// Leaves time for the first dial to be refused by the seed's port, and nothing else.
	await sleep(200);
	await using second = peersOf('seed', seed, seed);
	await second.start();
	advance(150);
	await expectLinked(first, 1);
});

it('hosts that discover each other through a seed are linked without a heartbeat', async () => {
	const ports = [await claimWorkerPort(), await claimWorkerPort(), await claimWorkerPort()] as const;
	await using seed = peersOf('seed', ports[0], ports[0]);
	await seed.start();
	await using first = peersOf('first', ports[1], ports[0]);
	await first.start();
	await using second = peersOf('second', ports[2], ports[0]);
	await second.start();
	await expectLinked(first, 2);
	await expectLinked(second, 2);
});
