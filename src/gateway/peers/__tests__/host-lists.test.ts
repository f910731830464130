/** Guards against handshakes that grow with the fleet, and against hosts that don't learn of all others because of shorter ones. */
import {
	afterEach, expect, it, vi,
} from 'vitest';
import {claimWorkerPort} from '../../../../bench/fleet/ports.js';
import {ignore} from '../../../entry/ignore.js';
import {Link} from '../link.js';
import {createMessageReader} from '../messages.js';
import {Peers} from '../peers.js';

const hostCount = 84;
const maxNamedHosts = 64;
const loopback = '127.0.0.1';

afterEach(() => {
	vi.restoreAllMocks();
});

it('no message names more than 64 hosts, and all hosts are discovered within seconds, after which none are named in parts', {timeout: 60_000}, async () => {
	let largest = 0;
	let bytes = 0;
	let lastPartAt = 0;
	const {write} = Link.prototype;
	vi.spyOn(Link.prototype, 'write').mockImplementation(function (this: Link, frame) {
		bytes += frame.length;
		for (const message of createMessageReader().push(frame)) {
			if (message.type === 'hello') {
				largest = Math.max(largest, message.known.length);
			} else if (message.type === 'heartbeat' && message.others !== undefined) {
				largest = Math.max(largest, message.others.length);
				lastPartAt = performance.now();
			}
		}

		write.call(this, frame);
	});
	const ports: number[] = [];
	while (ports.length < hostCount) {
		ports.push(await claimWorkerPort());
	}

	const fleet = ports.map((port, index) => new Peers({
		self: {
			name: `host-${index}`, failureDomain: `domain-${index % 3}`, address: {host: loopback, port}, started: 1_700_000_000_000 + index, capacity: 1,
		},
		seeds: ports.slice(0, 3).map(seed => ({host: loopback, port: seed})),
		log: {write: ignore},
		now: () => performance.now(),
		events: {joined: ignore, message: ignore, lost: ignore},
	}));
	try {
		const began = performance.now();
		await Promise.all(fleet.map(async peers => peers.start()));
		await expect.poll(() => fleet.every(peers => peers.fleetSize === hostCount), {timeout: 30_000}).toBe(true);
		console.log(`${hostCount} hosts know each other after ${Math.round(performance.now() - began)} ms and ${bytes} bytes`);
		// Each host states its number of known hosts twice a second.
		await expect.poll(() => performance.now() - Math.max(lastPartAt, began), {timeout: 20_000}).toBeGreaterThan(1500);
	} finally {
		await Promise.all(fleet.map(async peers => peers[Symbol.asyncDispose]()));
	}

	expect(largest).toBe(maxNamedHosts);
});
