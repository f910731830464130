/** HTTP servers for callers, and for the balancer's readiness checks. */
import {createServer, type Server, type ServerResponse} from 'node:http';
import {messageOf, type Address} from '../../core/index.js';
import {breakOff} from '../../protocol/break-off.js';
import {type GatewayServices} from '../services.js';
import {Exchange} from './exchange.js';
import {closeServer, openServer} from './listening.js';

/** Four times the limit that configurations set for callers. */
const maxHeaderBytes = 65_536;

/** Time for a request to arrive completely. */
const requestTimeoutMs = 30_000;

export class CallerListener implements AsyncDisposable {
	readonly #server: Server;
	readonly #running = new Map<ServerResponse, Exchange>();

	/**
	 * @param services - Services shared by all requests.
	 */
	constructor(services: GatewayServices) {
		this.#server = createServer({maxHeaderSize: maxHeaderBytes, requestTimeout: requestTimeoutMs, keepAlive: true}, (incoming, outgoing) => {
			const exchange = new Exchange(services, incoming, outgoing);
			this.#running.set(outgoing, exchange);
			void (async () => {
				try {
					await exchange.run();
				} catch (error) {
					services.log.write({event: 'exchange-failed', detail: messageOf(error), stack: error instanceof Error ? error.stack : undefined}, 'error');
					breakOff(outgoing);
				} finally {
					this.#running.delete(outgoing);
				}
			})();
		});
		this.#server.on('clientError', (error, socket) => {
			// A caller that disconnects or sends invalid HTTP gets no response, as it could be mistaken for the response to a request.
			services.log.write({event: 'caller-error', detail: error.message}, 'warn');
			socket.destroy();
		});
	}

	/** Number of requests in progress. */
	get running(): number {
		return this.#running.size;
	}

	/** Closes connections without a request in progress. */
	closeIdle(): void {
		this.#server.closeIdleConnections();
	}

	/** Refuses the requests whose bodies aren't complete. */
	refuseIncomplete(): void {
		for (const exchange of this.#running.values()) {
			exchange.refuseIncomplete();
		}
	}

	/** Stops accepting connections; open ones are still served. */
	refuse(): void {
		this.#server.close();
	}

	/**
	 * @param address - Where to listen.
	 */
	async listen(address: Address): Promise<void> {
		await openServer(this.#server, address);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const outgoing of this.#running.keys()) {
			breakOff(outgoing);
		}

		if (this.#server.listening) {
			await closeServer(this.#server);
		} else {
			this.#server.closeAllConnections();
		}
	}
}

/** Answers the balancer's readiness checks. */
export class ReadyListener implements AsyncDisposable {
	readonly #server: Server;

	/**
	 * @param isReady - Whether this host accepts callers now.
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
		await openServer(this.#server, address);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await closeServer(this.#server);
	}
}
