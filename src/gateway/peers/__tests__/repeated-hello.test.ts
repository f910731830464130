/** Guards against a peer that sends a second hello under another name: the first name would stay linked after the connection has closed. */
import {once} from 'node:events';
import {createConnection} from 'node:net';
import {expect, it} from 'vitest';
import {claimWorkerPort} from '../../../../bench/fleet/ports.js';
import {ignore} from '../../../entry/ignore.js';
import {encode, type Host} from '../messages.js';
import {Peers} from '../peers.js';

it('closes the link of a peer that sends a second hello', async () => {
	const createHost = (name: string, port: number): Host => ({
		name, failureDomain: 'a', address: {host: '127.0.0.1', port}, started: 1,
	});
	const self = createHost('self', await claimWorkerPort());
	const lost: string[] = [];
	await using peers = new Peers({
		self, seeds: [], log: {write: ignore}, now: () => performance.now(), events: {
			joined: ignore, message: ignore, lost(host, reason) {
				lost.push(`${host.name}: ${reason}`);
			},
		},
	});
	await peers.start();
	const socket = createConnection(self.address);
	socket.on('error', ignore);
	await once(socket, 'connect');
	const port = await claimWorkerPort();
	socket.write(encode({type: 'hello', from: createHost('first', port), known: []}));
	await expect.poll(() => peers.hosts.map(({name}) => name)).toEqual(['first']);
	socket.write(encode({type: 'hello', from: createHost('second', port), known: []}));
	await expect.poll(() => peers.hosts).toEqual([]);
	expect(lost).toEqual(['first: repeated hello']);
	socket.destroy();
});
