/** An HTTP listener of the daemon. */
import {once} from 'node:events';
import restify, {type Server} from 'restify';
import {ignore} from './ignore.js';
import {getPort} from './ports.js';

/** Longer than the idle timeout of load balancers, so that a connection isn't closed just as a balancer reuses it. */
const idleTimeoutMs = 75_000;

export type ListenAddress = {
	readonly host: string;
	/** Port 0 picks a free port. */
	readonly port: number;
};

export class Listener implements AsyncDisposable {
	readonly server: Server;

	/**
	 * @param name - Value of the `server` header.
	 */
	constructor(name: string) {
		this.server = restify.createServer({name});
		this.server.server.keepAliveTimeout = idleTimeoutMs;
		// The promise of `listen` rejects with the error; without a handler restify would also throw it.
		this.server.on('error', ignore);
	}

	/**
	 * @param address - Address to listen at.
	 * @returns The port listened at.
	 */
	async listen({host, port}: ListenAddress): Promise<number> {
		this.server.listen(port, host);
		await once(this.server.server, 'listening');
		return getPort(this.server.server);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		const closed = once(this.server.server, 'close');
		this.server.close();
		this.server.server.closeAllConnections();
		await closed;
	}
}
