/** Detection of silent failure domains in a large fleet. */
import {once} from 'node:events';
import {createConnection, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {claimWorkerPort} from '../../../../bench/fleet/ports.js';
import {ignore} from '../../../entry/ignore.js';
import {encode, type Host} from '../messages.js';
import {Peers} from '../peers.js';
import {selectRelays} from '../topology.js';

const loopback = '127.0.0.1';
const now = () => performance.now();

function hostAt(index: number, failureDomain: string, port = 1): Host {
	return {
		name: `host-${index}`, failureDomain, address: {host: loopback, port}, started: 1,
	};
}

/** Connects to a host and sends the handshake of another one. */
async function connect(self: Host, port: number, known: readonly Host[]): Promise<Socket> {
	const socket = createConnection({host: loopback, port});
	socket.on('error', ignore);
	await once(socket, 'connect');
	socket.write(encode({type: 'hello', from: self, known: [...known]}));
	return socket;
}

it.each([
	['a relay', 0, ['b']],
	['another host', 2, []],
] as const)('finds the expected silent failure domains as %s', {timeout: 20_000}, async (_, rank, expected) => {
	const own = [0, 1, 2].map(index => hostAt(index, 'a'));
	const ranked = [...selectRelays('a', own), ...own].filter((host, index, all) => all.indexOf(host) === index);
	const self = {...ranked[rank]!, address: {host: loopback, port: await claimWorkerPort()}};
	// None of these listens: the host knows a large fleet, but links only with the hosts that connect to it.
	const fleet = Array.from({length: 15}, (_each, index) => hostAt(10 + index, 'c', 2 + index));
	await using peers = new Peers({
		self, seeds: [], log: {write: ignore}, now, events: {joined: ignore, message: ignore, lost: ignore},
	});
	await peers.start();
	const others = ranked.filter(host => host.name !== self.name);
	const sockets = await Promise.all([...others, hostAt(9, 'b', 30)].map(async host => connect(host, self.address.port, fleet)));
	await expect.poll(() => peers.hosts.length).toBe(3);
	const heartbeats = setInterval(() => {
		for (const socket of sockets.slice(0, -1)) {
			socket.write(encode({type: 'heartbeat'}));
		}
	}, 300);
	await sleep(2800);
	expect([...peers.unreachableDomains(now())]).toEqual(expected);
	clearInterval(heartbeats);
	for (const socket of sockets) {
		socket.destroy();
	}
});
