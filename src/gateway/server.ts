/** Listens to callers, and tells the balancer whether this host takes them. */
import {createServer, type Server} from 'node:http';
import {messageOf, type Address} from '../core/index.js';
import {Exchange} from './exchange.js';
import {type Parts} from './parts.js';
import {close, open} from './listening.js';

/** Bytes of headers taken: four times what configurations allow callers so far. */
const headerBytes = 65_536;

/** Milliseconds that a whole request may take to arrive. */
const requestTimeout = 30_000;

export class CallerListener implements AsyncDisposable {
	readonly #server: Server;
	#running = 0;

	/**
	 * @param parts - What exchanges share.
	 */
	constructor(parts: Parts) {
		this.#server = createServer({maxHeaderSize: headerBytes, requestTimeout, keepAlive: true}, (incoming, outgoing) => {
			this.#running++;
			const exchange = new Exchange(parts, incoming, outgoing);
			void (async () => {
				try {
					await exchange.run();
				} catch (error) {
					parts.log.write({event: 'exchange-failed', detail: messageOf(error), stack: error instanceof Error ? error.stack : undefined}, 'error');
					outgoing.destroy();
				} finally {
					this.#running--;
				}
			})();
		});
		this.#server.on('clientError', (error, socket) => {
			// A caller that breaks off, or sends what is no HTTP, gets no answer that could be taken for a request's.
			parts.log.write({event: 'caller-error', detail: error.message}, 'warn');
			socket.destroy();
		});
	}

	/** Requests that are not answered. */
	get running(): number {
		return this.#running;
	}

	/** Closes connections on which nothing runs. */
	closeIdle(): void {
		this.#server.closeIdleConnections();
	}

	/** Takes no new connections; those that are open are served on. */
	refuse(): void {
		this.#server.close();
	}

	/**
	 * @param address - Where to listen.
	 */
	async listen(address: Address): Promise<void> {
		await open(this.#server, address);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		if (this.#server.listening) {
			await close(this.#server);
		} else {
			this.#server.closeAllConnections();
		}
	}
}

/** Answers the balancer. */
export class ReadyListener implements AsyncDisposable {
	readonly #server: Server;

	/**
	 * @param isReady - Whether this host takes callers now.
	 */
	constructor(isReady: () => boolean) {
		this.#server = createServer((incoming, outgoing) => {
			incoming.resume();
			outgoing.writeHead(isReady() ? 200 : 503, {'content-length': 0}).end();
		});
	}

	/**
	 * @param address - Where to listen.
	 */
	async listen(address: Address): Promise<void> {
		await open(this.#server, address);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await close(this.#server);
	}
}
