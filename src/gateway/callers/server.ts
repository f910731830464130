/** HTTP servers for callers, and for the balancer's readiness checks. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {messageOf, type Address} from '../../core/index.js';
import {breakOff} from '../../protocol/break-off.js';
import {findMalformedField} from '../../protocol/http/fields.js';
import {type GatewayServices} from '../services.js';
import {sendAnswer} from './answers.js';
import {Exchange} from './exchange.js';
import {closeServer, openServer} from './listening.js';

/** Four times the limit that configurations set for callers. */
const maxHeaderBytes = 65_536;

/** Time for a request to arrive completely. */
const requestTimeoutMs = 30_000;

export class CallerListener implements AsyncDisposable {
	readonly #server: Server;
	readonly #services: GatewayServices;
	readonly #running = new Map<ServerResponse, Exchange>();
	/** Connections that have carried a malformed request: where the next one begins isn't certain. */
	readonly #malformed = new WeakSet<Socket>();

	/**
	 * @param services - Services shared by all requests.
	 */
	constructor(services: GatewayServices) {
		this.#services = services;
		this.#server = createServer({maxHeaderSize: maxHeaderBytes, requestTimeout: requestTimeoutMs, keepAlive: true}, (incoming, outgoing) => {
			if (!this.#refuseMalformed(incoming, outgoing)) {
				void this.#serve(incoming, outgoing);
			}
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

	async #serve(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
		const exchange = new Exchange(this.#services, incoming, outgoing);
		this.#running.set(outgoing, exchange);
		try {
			await exchange.run();
		} catch (error) {
			this.#services.log.write({event: 'exchange-failed', detail: messageOf(error), stack: error instanceof Error ? error.stack : undefined}, 'error');
			breakOff(outgoing);
		} finally {
			this.#running.delete(outgoing);
		}
	}

	/** Refuses a request that breaks the grammar, though the parser of Node.js has accepted it, and those that follow it. Returns whether it did. */
	#refuseMalformed(incoming: IncomingMessage, outgoing: ServerResponse): boolean {
		const {socket} = incoming;
		if (this.#malformed.has(socket)) {
			incoming.resume();
			return true;
		}

		const malformation = findMalformedField(incoming.rawHeaders);
		if (malformation === undefined) {
			return false;
		}

		this.#malformed.add(socket);
		this.#services.log.write({event: 'caller-error', detail: malformation}, 'warn');
		incoming.resume();
		outgoing.shouldKeepAlive = false;
		sendAnswer(outgoing, 'badHeader');
		return true;
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
