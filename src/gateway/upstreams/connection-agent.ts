/** Sends requests over one given connection. */
import {Agent, type ClientRequestArgs} from 'node:http';
import {type Duplex} from 'node:stream';
import {type Socket} from 'node:net';

export class ConnectionAgent extends Agent {
	readonly #socket: Socket;

	/**
	 * @param socket - Established connection.
	 * @param keepAlive - Whether it is kept between requests.
	 */
	constructor(socket: Socket, keepAlive = false) {
		super({keepAlive, maxSockets: 1});
		this.#socket = socket;
	}

	override createConnection(_options: ClientRequestArgs, callback?: (error: Error | null, socket: Duplex) => void): Duplex | undefined {
		if (this.#socket.destroyed) {
			// Node.js would use the connection that has ended, and ignores it if there is an error.
			callback?.(new Error('the connection has ended'), this.#socket);
			return undefined;
		}

		return this.#socket;
	}
}
