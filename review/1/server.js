/** Servers whose answers have neither a length nor chunks and end with their connection, as the pages allow. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

const loopback = '127.0.0.1';

/** Events of a stream, and milliseconds between two of them. */
export const eventCount = 30;
const eventIntervalMs = 100;

/** Milliseconds between the two halves of the answer of a plain service. */
const halfMs = 600;

/**
 * @param number - Number of an event, from 1.
 * @returns Its bytes.
 */
export function formatEvent(number) {
	return `id: ${number}\ndata: piece ${number}\n\n`;
}

/**
 * @param id - Id of a request.
 * @returns The answer of a plain service to it.
 */
export function formatAnswer(id) {
	return `{"request":"${id}","street":"${'x'.repeat(700)}","done":true}`;
}

export class Server {
	#id;
	#isEngine;
	#onRun;
	#server;

	/**
	 * @param id - Id under which it is registered.
	 * @param isEngine - Whether it answers with streams.
	 * @param onRun - Called as a request starts to run, with its id and the number of the first event.
	 */
	constructor(id, isEngine, onRun) {
		this.#id = id;
		this.#isEngine = isEngine;
		this.#onRun = onRun;
	}

	get id() {
		return this.#id;
	}

	get port() {
		return this.#server.address().port;
	}

	async listen() {
		this.#server = createServer((incoming, outgoing) => {
			incoming.resume();
			incoming.once('end', async () => {
				await this.#answer(incoming, outgoing);
			});
		});
		this.#server.listen(0, loopback);
		await once(this.#server, 'listening');
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #answer(incoming, outgoing) {
		if (incoming.headers['x-expect-instance'] !== this.#id) {
			outgoing.writeHead(421, {'content-length': 0}).end();
		} else if (incoming.url === '/healthz') {
			outgoing.writeHead(200, {'x-instance-id': this.#id, 'content-length': 0}).end();
		} else if (incoming.method === 'POST' && incoming.url === '/v1/order') {
			outgoing.writeHead(200, {'content-type': 'application/json', 'content-length': 2}).end('{}');
		} else {
			await this.#run(incoming, outgoing.socket);
		}
	}

	/** Writes to the socket itself: the server of Node.js would add chunks. */
	async #run(incoming, socket) {
		const id = incoming.headers['x-request-id'];
		const first = Number(incoming.headers['last-event-id'] ?? 0) + 1;
		this.#onRun(id, this.#id, first);
		const type = this.#isEngine ? 'text/event-stream' : 'application/json';
		socket.write(`HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\nX-Request-Id: ${id}\r\nX-Response-Signature: ${this.#id}.${id}\r\nConnection: close\r\n\r\n`);
		if (this.#isEngine) {
			for (let number = first; number <= eventCount && !socket.destroyed; number++) {
				await sleep(eventIntervalMs);
				socket.write(formatEvent(number));
			}
		} else {
			const bytes = Buffer.from(formatAnswer(id));
			socket.write(bytes.subarray(0, bytes.length / 2));
			await sleep(halfMs);
			socket.write(bytes.subarray(bytes.length / 2));
		}

		socket.end();
	}
}
