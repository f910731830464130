/**
 * Connects to upstreams: over the link of this host, or over another host if that link is cut. A tunnel that opens while the own link fails
 * shows that the link is cut.
 */
import {type Socket, type TcpNetConnectOpts} from 'node:net';
import {assertNever} from '../../core/index.js';
import {type LinkFailure, type Links, type LinkRoute} from '../../core/gateway/health/links.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type Log} from '../../entry/logs.js';
import {connectDirectly, type ConnectionResult} from '../tunnels/direct-connection.js';
import {type TunnelPeers, type TunnelSearch} from '../tunnels/tunnel-peers.js';

/** Time in milliseconds after which a tunnel is opened beside a connection that isn't established yet. */
const tunnelDelayMs = 60;

/** Tunnel that a connection leads through. */
export type Tunnel = {
	/** Id of the tunnel, in the logs of both hosts. */
	readonly id: string;
	/** Name of the other host. */
	readonly peer: string;
};

/** No connection could be established: nothing was sent. */
export class ConnectionFailure extends Error {
	readonly failure: LinkFailure;

	/**
	 * @param failure - How it failed.
	 * @param detail - What happened.
	 */
	constructor(failure: LinkFailure, detail: string) {
		super(detail);
		this.failure = failure;
	}
}

export type ConnectorOptions = {
	readonly links: Links;
	readonly peers: TunnelPeers;
	readonly log: Pick<Log, 'write'>;
	readonly now: () => number;
	/** Returns the upstream that is registered at an address. */
	readonly findUpstream: (address: string) => GatewayUpstream | undefined;
	/** Called when links are found to be cut. */
	readonly onCut: () => void;
	/** Called with the result of each search for a tunnel. */
	readonly onTunnel: (result: TunnelSearch['type']) => void;
};

const neverAborted = new AbortController().signal;

const tunnels = new WeakMap<Socket, Tunnel>();

/**
 * @param socket - Connection to an upstream.
 * @returns The tunnel that it leads through; undefined if it is a connection over the link of this host.
 */
export function findTunnel(socket: Socket): Tunnel | undefined {
	return tunnels.get(socket);
}

export class Connector {
	readonly #options: ConnectorOptions;

	/**
	 * @param options - What is known of links, and other hosts.
	 */
	constructor(options: ConnectorOptions) {
		this.#options = options;
	}

	/**
	 * @param address - Host and port, as text.
	 * @returns How connections to the address are made at present.
	 */
	findRoute(address: string): LinkRoute {
		const {links, findUpstream} = this.#options;
		const upstream = links.hasCuts ? findUpstream(address) : undefined;
		return upstream === undefined ? {type: 'direct'} : links.findRoute(upstream);
	}

	/**
	 * @param tunnel - Tunnel of a connection.
	 * @returns Whether its host still opens tunnels, so that further requests may use it.
	 */
	isOffered(tunnel: Tunnel): boolean {
		return this.#options.peers.has(tunnel.peer);
	}

	/**
	 * @param options - Address of an upstream, and socket options.
	 * @returns A connection to it.
	 * @throws ConnectionFailure if neither this host nor one that it asked could connect.
	 */
	async connect(options: TcpNetConnectOpts): Promise<Socket> {
		const {peers, findUpstream, links} = this.#options;
		const upstream = peers.isAvailable ? findUpstream(`${options.host ?? ''}:${options.port}`) : undefined;
		if (upstream === undefined) {
			return takeSocket(await connectDirectly(options));
		}

		return links.findRoute(upstream).type === 'tunnel' ? this.#connectOverTunnel(upstream, options) : this.#race(upstream, options);
	}

	/**
	 * Checks the link to an upstream with a connection that is closed at once.
	 *
	 * @param upstream - Upstream.
	 */
	async check(upstream: GatewayUpstream): Promise<void> {
		const options = {...upstream.address};
		if (this.#options.links.findRoute(upstream).type === 'tunnel') {
			const result = await connectDirectly(options);
			this.#recordDirect(upstream, result);
			if (result.type === 'connected') {
				result.socket.destroy();
			}

			return;
		}

		try {
			const socket = await this.#race(upstream, options);
			socket.destroy();
		} catch {
			// The upstream is gone, which the next request finds as well.
		}
	}

	async #connectOverTunnel(upstream: GatewayUpstream, options: TcpNetConnectOpts): Promise<Socket> {
		const search = await this.#search(upstream, neverAborted);
		switch (search.type) {
			case 'connected': {
				return search.result.socket;
			}

			case 'absent': {
				this.#options.links.forget(upstream.id);
				throw new ConnectionFailure(search.failure, `${search.failure} at other hosts as well`);
			}

			case 'none': {
				const result = await connectDirectly(options);
				this.#recordDirect(upstream, result);
				return takeSocket(result);
			}

			default: {
				return assertNever(search);
			}
		}
	}

	/** Connects directly, and over a tunnel if that fails or takes long; returns the first connection. */
	async #race(upstream: GatewayUpstream, options: TcpNetConnectOpts): Promise<Socket> {
		const connected = new AbortController();
		const connecting = connectDirectly(options);
		const searching = this.#searchAfter(upstream, connecting, connected.signal);
		const search = await Promise.race([searching, waitUntilConnected(connecting)]);
		if (search?.type === 'connected') {
			void this.#concludeRace(upstream, connecting);
			return search.result.socket;
		}

		const result = await connecting;
		connected.abort();
		void closeUnused(searching);
		this.#recordDirect(upstream, result);
		return takeSocket(result);
	}

	/** Records what became of a direct connection that a tunnel was faster than. */
	async #concludeRace(upstream: GatewayUpstream, connecting: Promise<ConnectionResult>): Promise<void> {
		const result = await connecting;
		if (result.type === 'connected') {
			result.socket.destroy();
			this.#recordDirect(upstream, result);
		} else {
			this.#recordCut(upstream, result.failure);
		}
	}

	/** Searches for a tunnel once the direct connection has failed or takes long. */
	async #searchAfter(upstream: GatewayUpstream, connecting: Promise<ConnectionResult>, signal: AbortSignal): Promise<TunnelSearch> {
		const delay = new Promise<'late'>(resolve => {
			const timer = setTimeout(resolve, tunnelDelayMs, 'late');
			signal.addEventListener('abort', () => {
				clearTimeout(timer);
			}, {once: true});
		});
		const first = await Promise.race([connecting, delay]);
		return first !== 'late' && first.type === 'connected' ? {type: 'none'} : this.#search(upstream, signal);
	}

	async #search(upstream: GatewayUpstream, signal: AbortSignal): Promise<TunnelSearch> {
		const search = await this.#options.peers.search(upstream, signal);
		if (!signal.aborted) {
			this.#options.onTunnel(search.type);
		}

		if (search.type === 'connected') {
			tunnels.set(search.result.socket, {id: search.tunnel, peer: search.peer});
			this.#options.log.write({
				event: 'tunnel-opened', tunnel: search.tunnel, peer: search.peer, upstream: upstream.id,
			});
		}

		return search;
	}

	#recordDirect(upstream: GatewayUpstream, result: ConnectionResult): void {
		const {links, log, now} = this.#options;
		if (result.type === 'connected' && links.recordConnection(upstream, now())) {
			log.write({event: 'link-restored', upstream: upstream.id, domain: upstream.failureDomain});
		}
	}

	#recordCut(upstream: GatewayUpstream, failure: LinkFailure): void {
		const {links, log, now, onCut} = this.#options;
		if (links.recordCut(upstream, failure, now())) {
			log.write({
				event: 'link-cut', upstream: upstream.id, domain: upstream.failureDomain, failure,
			}, 'warn');
			onCut();
		}
	}
}

/**
 * @param result - Result of a direct connection.
 * @returns The connection.
 * @throws ConnectionFailure if there is none.
 */
export function takeSocket(result: ConnectionResult): Socket {
	if (result.type === 'failed') {
		throw new ConnectionFailure(result.failure, result.detail);
	}

	return result.socket;
}

/** Resolves once a connection is established; never if it fails. */
async function waitUntilConnected(connecting: Promise<ConnectionResult>): Promise<undefined> {
	return new Promise(resolve => {
		void (async () => {
			const result = await connecting;
			if (result.type === 'connected') {
				resolve(undefined);
			}
		})();
	});
}

async function closeUnused(searching: Promise<TunnelSearch>): Promise<void> {
	const search = await searching;
	if (search.type === 'connected') {
		search.result.socket.destroy();
	}
}
