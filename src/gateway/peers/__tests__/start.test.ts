/** Hosts that start together, as after a power failure, must discover each other before callers return. */
import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
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

function peersOf(name: string, port: number, seed: number, lost: (host: Host, reason: string) => void = ignore): Peers {
	const self: Host = {
		name, failureDomain: 'a', address: {host: loopback, port}, started: 1,
	};
	return new Peers({
		self, seeds: [{host: loopback, port: seed}], log: {write: ignore}, now: () => clock, events: {joined: ignore, message: ignore, lost},
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

/** Forwards connections, with delays in milliseconds: `request` of what the dialling host sends, `answer` of what it gets. */
async function delay(from: number, to: number, {request, answer}: {readonly request: number; readonly answer: number}): Promise<Server> {
	const server = createServer(socket => {
		const target = connect(to, loopback);
		const pass = (source: Socket, sink: Socket, time: number) => {
			source.on('error', ignore);
			source.on('data', (chunk: Uint8Array) => {
				setTimeout(() => {
					sink.write(chunk);
				}, time);
			});
			source.on('close', () => {
				sink.destroy();
			});
		};

		pass(socket, target, request);
		pass(target, socket, answer);
	});
	server.listen(from, loopback);
	await once(server, 'listening');
	return server;
}

it('hosts that dial each other at the same time don\'t lose each other', async () => {
	const ports = [await claimWorkerPort(), await claimWorkerPort(), await claimWorkerPort()] as const;
	const server = await delay(ports[2], ports[1], {request: 60, answer: 400});
	const lost: string[] = [];
	const record = ({name}: Host, reason: string) => {
		lost.push(`${name}: ${reason}`);
	};

	{
		await using first = peersOf('first', ports[0], ports[2], record);
		await using second = peersOf('second', ports[1], ports[0], record);
		// The first dial of the seed is refused; the second one follows while the other host has dialled as well.
		await first.start();
		await sleep(50);
		await second.start();
		await Promise.all([expectLinked(first, 1), expectLinked(second, 1)]);
		advance(500);
		await sleep(500);
		expect(lost).toEqual([]);
	}

	server.close();
});
