/** Pools connections to upstreams between requests. */
import {Agent, type ClientRequest} from 'node:http';
import {type Duplex} from 'node:stream';
import {Socket} from 'node:net';

/** Longest time to keep an idle connection; upstreams announce a shorter time in the Keep-Alive header. */
const maxIdleMs = 10_000;

/** Share of an upstream's keep-alive time during which a connection is reused: later the upstream may close it while a request is sent. */
const reuseShare = 0.6;

const keepAliveHint = /timeout=(\d+)/v;

function computeIdleTime(socket: Duplex & {_httpMessage?: {res?: {headers?: Record<string, unknown>}}}): number {
	// Node.js keeps the last request of a socket under this name; its own agent reads the hint the same way.
	const hint = socket._httpMessage?.res?.headers?.['keep-alive'];
	const seconds = typeof hint === 'string' ? keepAliveHint.exec(hint)?.[1] : undefined;
	return seconds === undefined ? maxIdleMs : Math.min(Number(seconds) * 1000 * reuseShare, maxIdleMs);
}

/** Like the agent of Node.js, except that an idle connection is closed when unexpected bytes arrive on it. */
export class UpstreamAgent extends Agent {
	constructor() {
		super({keepAlive: true, maxFreeSockets: 64, scheduling: 'lifo'});
	}

	/** @returns Whether the connection is kept; the types of Node.js omit the return value. */
	// eslint-disable-next-line @typescript-eslint/strict-void-return -- Node.js uses the return value.
	override keepSocketAlive(socket: Duplex): boolean {
		if (!(socket instanceof Socket) || socket.readableLength > 0) {
			return false;
		}

		const idle = computeIdleTime(socket);
		if (idle < 1) {
			return false;
		}

		socket.setKeepAlive(true, 1000);
		socket.setTimeout(idle);
		socket.on('data', destroySocket);
		socket.unref();
		return true;
	}

	override reuseSocket(socket: Duplex, request: ClientRequest): void {
		socket.removeListener('data', destroySocket);
		if (socket instanceof Socket) {
			socket.setTimeout(0);
			socket.ref();
		}

		super.reuseSocket(socket, request);
	}
}

function destroySocket(this: Socket): void {
	this.destroy();
}
