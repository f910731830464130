/** A TCP link between a gateway and a server, which can be cut. */
import {once} from 'node:events';
import {connect, createServer} from 'node:net';

const loopback = '127.0.0.1';

export class Link {
	#target;
	#server;
	#sockets = new Set();
	#port;

	/**
	 * @param target - Port of the server.
	 */
	constructor(target) {
		this.#target = target;
	}

	/** Number of open connections. */
	get size() {
		return this.#sockets.size / 2;
	}

	/** Port at which it listens, also after it was cut. */
	get port() {
		return this.#port;
	}

	/** Accepts connections, at the same port as before if it listened already. */
	async listen() {
		this.#server = createServer(socket => {
			this.#carry(socket);
		});
		this.#server.listen(this.#port ?? 0, loopback);
		await once(this.#server, 'listening');
		this.#port = this.#server.address().port;
	}

	/** Refuses new connections, as a server does whose process has ended. */
	refuse() {
		this.#server.close();
	}

	/** Cuts the link: open connections are reset, new ones are refused. */
	cut() {
		this.refuse();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Carries bytes, and passes on how either side ends its connection. */
	#carry(near) {
		const far = connect(this.#target, loopback);
		for (const [socket, other] of [[near, far], [far, near]]) {
			this.#sockets.add(socket);
			socket.setNoDelay(true);
			socket.on('error', () => {
				other.resetAndDestroy();
			});
			socket.on('close', () => {
				this.#sockets.delete(socket);
				other.destroySoon();
			});
			socket.pipe(other);
		}
	}
}
