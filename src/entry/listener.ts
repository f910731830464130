/** An HTTP listener of the daemon. */
import {once} from 'node:events';
import restify, {type Server} from 'restify';
import {ignore} from './ignore.js';
import {portOf} from './ports.js';

/** Milliseconds that an idle connection stays open: longer than balancers keep theirs, so that none is closed as it is used. */
const idleTimeout = 75_000;

/** Where to listen. */
export type Place = {
	readonly host: string;
	/** Port 0 takes a free one. */
	readonly port: number;
};

export class Listener implements AsyncDisposable {
	readonly server: Server;

	/**
	 * @param name - Told in the `server` header.
	 */
	constructor(name: string) {
		this.server = restify.createServer({name});
		this.server.server.keepAliveTimeout = idleTimeout;
		// Whoever listens is told by a rejection; without this restify would throw the error a second time.
		this.server.on('error', ignore);
	}

	/**
	 * @param place - Where to listen.
	 * @returns The port listened at.
	 */
	async listen({host, port}: Place): Promise<number> {
		this.server.listen(port, host);
		await once(this.server.server, 'listening');
		return portOf(this.server.server);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		const closed = once(this.server.server, 'close');
		this.server.close();
		this.server.server.closeAllConnections();
		await closed;
	}
}
