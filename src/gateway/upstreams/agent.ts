/** Pools connections to upstreams between requests. */
import {Agent, type ClientRequest, type ClientRequestArgs} from 'node:http';
import {type Duplex} from 'node:stream';
import {Socket, type TcpNetConnectOpts} from 'node:net';
import {assertNever, type Address} from '../../core/index.js';
import {type LinkRoute} from '../../core/gateway/health/links.js';
import {connectDirectly} from '../tunnels/direct-connection.js';
import {findTunnel, takeSocket, type Connector} from './connector.js';

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

/** Makes connections, and decides which ones may be used again. */
export type UpstreamConnector = Pick<Connector, 'connect' | 'findRoute' | 'isOffered'>;

/** Uses the link of this host only. */
const directConnector: UpstreamConnector = {
	connect: async options => takeSocket(await connectDirectly(options)),
	findRoute: () => ({type: 'direct'}),
	isOffered: () => false,
};

/** Like the agent of Node.js, except that an idle connection is closed when unexpected bytes arrive on it. */
export class UpstreamAgent extends Agent {
	readonly #connector: UpstreamConnector;
	/** Addresses of the connections, as text. */
	readonly #addresses = new WeakMap<Duplex, string>();

	/**
	 * @param connector - Makes the connections.
	 */
	constructor(connector: UpstreamConnector = directConnector) {
		super({keepAlive: true, maxFreeSockets: 64, scheduling: 'lifo'});
		this.#connector = connector;
	}

	/** Connections over the link of this host that requests use at present. */
	get directConnections(): readonly Socket[] {
		return Object.values(this.sockets).flatMap(sockets => sockets ?? []).filter(socket => findTunnel(socket) === undefined);
	}

	/**
	 * @param socket - Connection.
	 * @returns Host and port of its upstream, as text.
	 */
	findAddress(socket: Socket): string | undefined {
		return this.#addresses.get(socket);
	}

	/** Closes idle connections that no request should use: those over a link that has gone silent, tunnels beside a sound link, and tunnels that are no longer offered. */
	closeUnfit(): void {
		for (const socket of this.#idleConnections) {
			if (!this.#isFit(socket)) {
				socket.destroy();
			}
		}
	}

	/**
	 * Closes the idle connections over another host.
	 *
	 * @param peer - Name of the host.
	 */
	closeTunnels(peer: string): void {
		for (const socket of this.#idleConnections) {
			if (findTunnel(socket)?.peer === peer) {
				socket.destroy();
			}
		}
	}

	/**
	 * Closes the idle connections to an upstream.
	 *
	 * @param address - Address of the upstream.
	 */
	closeIdle({host, port}: Address): void {
		for (const socket of this.#idleConnections) {
			if (this.#addresses.get(socket) === `${host}:${port}`) {
				socket.destroy();
			}
		}
	}

	override createConnection(options: ClientRequestArgs, callback?: (error: Error | null, socket: Duplex) => void): Duplex | null | undefined {
		void (async () => {
			try {
				// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Requests to upstreams have a host and a port.
				const socket = await this.#connector.connect(options as TcpNetConnectOpts);
				this.#addresses.set(socket, `${options.host ?? ''}:${options.port ?? ''}`);
				callback?.(null, socket);
			} catch (error) {
				// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Node.js ignores the connection if there is an error.
				callback?.(error as Error, undefined as unknown as Duplex);
			}
		})();

		return undefined;
	}

	/** @returns Whether the connection is kept; the types of Node.js omit the return value. */
	// eslint-disable-next-line @typescript-eslint/strict-void-return -- Node.js uses the return value.
	override keepSocketAlive(socket: Duplex): boolean {
		if (!(socket instanceof Socket) || socket.readableLength > 0) {
			return false;
		}

		const idle = computeIdleTime(socket);
		if (idle < 1 || !this.#isFit(socket)) {
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

	get #idleConnections(): readonly Socket[] {
		return Object.values(this.freeSockets).flatMap(sockets => sockets ?? []);
	}

	#isFit(socket: Socket): boolean {
		const address = this.#addresses.get(socket);
		const tunnel = findTunnel(socket);
		const isOffered = tunnel === undefined || this.#connector.isOffered(tunnel);
		return isOffered && (address === undefined || isFitFor(this.#connector.findRoute(address), tunnel !== undefined));
	}
}

/** Whether a connection may carry a further request while requests to its upstream take the route. */
function isFitFor(route: LinkRoute, isTunnel: boolean): boolean {
	switch (route.type) {
		case 'direct': {
			return !isTunnel;
		}

		case 'tunnel': {
			// Open connections may outlive a link that refuses new ones, and are of use as long as no other host is known to connect.
			return isTunnel || (route.fault === 'refused' && !route.isShown);
		}

		default: {
			return assertNever(route);
		}
	}
}

function destroySocket(this: Socket): void {
	this.destroy();
}
