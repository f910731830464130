/** A host that many others join announces them together, so that a start of the whole fleet costs no message for each pair of hosts. */
import {once} from 'node:events';
import {createConnection, type Socket} from 'node:net';
import {expect, it} from 'vitest';
import {claimWorkerPort} from '../../../../bench/fleet/ports.js';
import {ignore} from '../../../entry/ignore.js';
import {createMessageReader, encode, type Host} from '../messages.js';
import {Peers} from '../peers.js';

const announcementIntervalMs = 100;
/** Above this number of hosts a fleet is large. */
const smallFleetHosts = 14;

function createHost(name: string, port: number): Host {
	return {
		name, failureDomain: 'a', address: {host: '127.0.0.1', port}, started: 1, capacity: 1,
	};
}

async function join(host: Host, name: string, port: number): Promise<Socket> {
	const socket = createConnection(host.address);
	socket.on('error', ignore);
	await once(socket, 'connect');
	socket.write(encode({type: 'hello', from: createHost(name, port), known: []}));
	return socket;
}

it('hosts that join a large fleet are announced at most ten times a second', async () => {
	const host = createHost('seed', await claimWorkerPort());
	const unusedPort = await claimWorkerPort();
	await using peers = new Peers({
		self: host, seeds: [], log: {write: ignore}, now: () => performance.now(), events: {joined: ignore, message: ignore, lost: ignore},
	});
	await peers.start();
	const sockets: Socket[] = [];
	for (let index = 0; index < smallFleetHosts; index++) {
		sockets.push(await join(host, `first-${index}`, unusedPort));
	}

	await expect.poll(() => peers.isLargeFleet).toBe(true);
	const observer = await join(host, 'observer', unusedPort);
	const reader = createMessageReader();
	const announced = new Set<string>();
	let announcements = 0;
	observer.on('data', chunk => {
		for (const message of reader.push(chunk)) {
			if (message.type === 'heartbeat' && message.known?.some(({name}) => name.startsWith('later')) === true) {
				announcements++;
				for (const {name} of message.known) {
					announced.add(name);
				}
			}
		}
	});
	const began = performance.now();
	for (let index = 0; index < 60; index++) {
		sockets.push(await join(host, `later-${index}`, unusedPort));
	}

	await expect.poll(() => [...announced].filter(name => name.startsWith('later')).length, {timeout: 5000}).toBe(60);
	expect(announcements).toBeLessThanOrEqual(2 + ((performance.now() - began) / announcementIntervalMs));
	for (const socket of [...sockets, observer]) {
		socket.destroy();
	}
});
