/** An upstream that answers each request with bytes of the test's choice. */
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {getPort} from '../../src/entry/ports.js';
import {assertNever} from '../../src/core/index.js';
import {type Site} from '../../bench/gateway/site.js';

/** What is sent in answer to a request. */
export type RawAnswer = {
	readonly first: (request: string) => string;
	/** Sent again and again, until the connection is closed. */
	readonly next?: string;
	/** Milliseconds between two of them; as fast as they are read if absent. */
	readonly interval?: number;
	/** How its connection ends, some milliseconds after the first bytes; what comes until then isn't read if it breaks off. */
	readonly end?: {readonly type: 'break off' | 'close' | 'reset'; readonly after: number};
};

let startCount = 0;

function endConnection(socket: Socket, type: NonNullable<RawAnswer['end']>['type']): void {
	switch (type) {
		case 'break off': {
			socket.destroy();
			break;
		}

		case 'close': {
			socket.end();
			break;
		}

		case 'reset': {
			socket.resetAndDestroy();
			break;
		}

		default: {
			assertNever(type);
		}
	}
}

export class RawUpstream implements AsyncDisposable {
	/**
	 * Starts an upstream, and waits until all hosts of a site know it.
	 *
	 * @param site - Site.
	 * @param service - Service that it belongs to.
	 * @param answer - Its answer to each request.
	 * @returns The upstream, already listening.
	 */
	static async start(site: Site, service: string, answer: RawAnswer): Promise<RawUpstream> {
		startCount++;
		const upstream = new RawUpstream(site, `raw-${startCount}`, answer);
		upstream.#server.listen(0, '127.0.0.1');
		await once(upstream.#server, 'listening');
		site.store.put(`servers/${upstream.id}`, {
			Service: service, Address: `127.0.0.1:${getPort(upstream.#server)}`, Zone: 'a', Slots: 50, State: 'ready', born: 1,
		});
		const end = performance.now() + 5000;
		while (!site.hosts.every(host => host.findLogLines('upstream').some(line => line.upstream === upstream.id))) {
			if (performance.now() > end) {
				throw new Error(`the hosts don't know ${upstream.id}`);
			}

			await sleep(20);
		}

		return upstream;
	}

	readonly id: string;
	/** Ids of the requests that it has answered. */
	readonly requests: string[] = [];
	readonly #site: Site;
	readonly #answer: RawAnswer;
	readonly #server: Server;
	/** Connections that have carried a request. */
	readonly #connections = new Set<Socket>();

	private constructor(site: Site, id: string, answer: RawAnswer) {
		this.#site = site;
		this.id = id;
		this.#answer = answer;
		this.#server = createServer(socket => {
			this.#serve(socket);
		});
	}

	/** Number of open connections that have carried a request. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#site.store.remove(`servers/${this.id}`);
		for (const connection of this.#connections) {
			connection.destroy();
		}

		this.#server.close();
	}

	#serve(socket: Socket): void {
		socket.on('error', () => {
			// The host has closed the connection; `close` follows.
		});
		socket.once('close', () => {
			this.#connections.delete(socket);
		});
		socket.on('data', chunk => {
			const text = chunk.toString('latin1');
			if (!/^[A-Z]+ \/\S* HTTP/v.test(text)) {
				return;
			}

			const request = /^x-request-id: (?<request>.*)$/imv.exec(text)?.groups?.request;
			if (request === undefined) {
				socket.write(`HTTP/1.1 200 OK\r\nX-Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
				return;
			}

			this.requests.push(request);
			this.#connections.add(socket);
			socket.write(this.#answer.first(request));
			this.#goOn(socket);
		});
	}

	#goOn(socket: Socket): void {
		const {next, interval, end} = this.#answer;
		if (end !== undefined) {
			if (end.type !== 'close') {
				socket.pause();
			}

			setTimeout(() => {
				endConnection(socket, end.type);
			}, end.after);
		}

		if (next === undefined) {
			return;
		}

		if (interval !== undefined) {
			const timer = setInterval(() => {
				socket.write(next);
			}, interval);
			socket.once('close', () => {
				clearInterval(timer);
			});
			return;
		}

		const send = () => {
			while (!socket.destroyed && socket.write(next)) {
				// Goes on until the buffers are full.
			}
		};

		socket.on('drain', send);
		send();
	}
}
