/** Calls to the store and to control endpoints: what a server sends without end is not kept. */
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {getPort} from '../../entry/ports.js';
import {ValidatingAgent} from '../../protocol/http/validated-request.js';
import {callJson} from '../calls.js';

let server: Server | undefined;
const sockets = new Set<Socket>();

afterEach(() => {
	for (const socket of sockets) {
		socket.destroy();
	}

	server?.close();
});

/** Sends a head, and a piece of the body again and again. */
async function listen(piece: string): Promise<number> {
	server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined).once('close', () => {
			sockets.delete(socket);
		});
		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
			const send = () => {
				while (!socket.destroyed && socket.write(piece)) {
					// Goes on until the buffers are full.
				}
			};

			socket.on('drain', send);
			send();
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return getPort(server);
}

it.each([
	['1 byte', '1\r\nx\r\n'.repeat(1000)],
	['10,000 bytes', `2710\r\n${'x'.repeat(10_000)}\r\n`],
])('a response without end fails the call, and its connection is closed, if its chunks have %s', async (_, piece) => {
	const port = await listen(piece);
	const agent = new ValidatingAgent();
	const call = callJson({
		address: {host: '127.0.0.1', port}, method: 'GET', path: '/', timeout: 10_000, agent, maxResponseBytes: 100_000,
	});
	await expect(call).rejects.toThrow('response longer than 100000 bytes');
	await expect.poll(() => sockets.size).toBe(0);
	agent.destroy();
});
