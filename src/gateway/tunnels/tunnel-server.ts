/** Connects other hosts of the fleet to upstreams that they don't reach themselves. */
import {once} from 'node:events';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {createServer, type Server, type Socket} from 'node:net';
import {assertNever, messageOf, type Address} from '../../core/index.js';
import {type LinkRoute, type LinkScope} from '../../core/gateway/health/links.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type Log} from '../../entry/logs.js';
import {CarriedEnds} from '../../core/gateway/health/carried-ends.js';
import {type CarriedEnd} from '../../core/gateway/health/connection-ends.js';
import {probeEnd} from '../../protocol/connection-end.js';
import {isKnownOpen} from '../../protocol/open-connection.js';
import {resetSocket} from '../../protocol/reset-socket.js';
import {connectDirectly} from './direct-connection.js';
import {
	createTunnelRequestReader, encodeTunnelMessage, tunnelKeyBytes, type TunnelOffer, type TunnelReply, type TunnelRequest,
} from './messages.js';

/** Tunnels that are open or being opened at once: each holds two connections and up to 64 kB. */
const maxTunnels = 400;

/** Time in milliseconds for the request that opens a tunnel. */
const requestTimeoutMs = 1000;

/** Invalid requests are logged at most once in this time, in milliseconds. */
const invalidLogIntervalMs = 60_000;

export type TunnelServerOptions = {
	/** Where to listen. */
	readonly address: Address;
	readonly log: Pick<Log, 'write'>;
	readonly now: () => number;
	/** Returns a registered upstream. */
	readonly findUpstream: (id: string) => GatewayUpstream | undefined;
	/** Returns how this host reaches an upstream. */
	readonly findRoute: (upstream: GatewayUpstream) => LinkRoute;
	/** Finds out to which other upstreams the links of this host are sound. */
	readonly findSoundScope: (upstream: GatewayUpstream, since: number) => Promise<LinkScope>;
	/** Called with an upstream that this host couldn't connect to. */
	readonly onAbsent: (upstream: GatewayUpstream) => void;
	/** Called with the result of each request. */
	readonly onResult: (result: string) => void;
};

export class TunnelServer implements AsyncDisposable {
	readonly #options: TunnelServerOptions;
	/** From which the keys of the other hosts are derived; new with each process. */
	readonly #secret = randomBytes(tunnelKeyBytes);
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #ends = new CarriedEnds<GatewayUpstream>();
	/** Connections to upstreams that are carried, by host and tunnel. */
	readonly #carried = new Map<string, Socket>();
	#isLeaving = false;
	/** Port on which it listens. */
	#port: number | undefined;
	#invalidLoggedAt = Number.NEGATIVE_INFINITY;

	/**
	 * @param options - Address, upstreams and observers.
	 */
	constructor(options: TunnelServerOptions) {
		this.#options = options;
		this.#server = createServer({noDelay: true}, socket => {
			this.#accept(socket);
		});
	}

	/**
	 * @param host - Name of another host.
	 * @returns Offer with a key that is valid for that host only.
	 */
	createOffer(host: string): TunnelOffer {
		if (this.#isLeaving) {
			return {type: 'closed'};
		}

		const {host: address, port} = this.#options.address;
		return {
			type: 'open', host: address, port: this.#port ?? port, key: this.#createKey(host),
		};
	}

	/** Port on which it listens; undefined until then. */
	get port(): number | undefined {
		return this.#port;
	}

	/** Whether no tunnel is open, and hosts have had time to ask how those ended that were. */
	get isIdle(): boolean {
		return this.#sockets.size === 0 && !this.#ends.hasRecent(this.#options.now());
	}

	/** Number of tunnels that are open or being opened. */
	get size(): number {
		return this.#sockets.size;
	}

	/** Starts to listen. */
	async listen(): Promise<void> {
		this.#server.listen({...this.#options.address});
		await once(this.#server, 'listening');
		const bound = this.#server.address();
		this.#port = typeof bound === 'object' && bound !== null ? bound.port : undefined;
	}

	/** Opens no more tunnels; open ones stay. */
	leave(): void {
		this.#isLeaving = true;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const socket of this.#sockets) {
			resetSocket(socket);
		}

		if (this.#server.listening) {
			const closed = once(this.#server, 'close');
			this.#server.close();
			await closed;
		}
	}

	#accept(socket: Socket): void {
		this.#sockets.add(socket);
		const reader = createTunnelRequestReader();
		const timer = setTimeout(() => {
			socket.destroy();
		}, requestTimeoutMs);
		socket.on('error', () => {
			// The `close` event that follows ends the tunnel.
		});
		socket.once('close', () => {
			clearTimeout(timer);
			this.#sockets.delete(socket);
		});
		const read = (chunk: Uint8Array) => {
			try {
				const [request] = reader.push(chunk);
				if (request !== undefined) {
					clearTimeout(timer);
					socket.off('data', read);
					socket.pause();
					void this.#open(socket, request);
				}
			} catch (error) {
				this.#refuseInvalid(socket, messageOf(error));
			}
		};

		socket.on('data', read);
	}

	async #open(socket: Socket, request: TunnelRequest): Promise<void> {
		if (!timingSafeEqual(request.key, this.#createKey(request.from))) {
			this.#refuseInvalid(socket, 'no valid key');
			return;
		}

		if (request.purpose === 'end') {
			this.#reply(socket, request, {type: 'ended', end: await this.#findEnd(request)});
			socket.end();
			return;
		}

		const upstream = this.#options.findUpstream(request.upstream);
		const refusal = this.#findRefusal(upstream);
		if (upstream === undefined || refusal !== undefined) {
			this.#reply(socket, request, refusal ?? {type: 'refused', reason: 'unknown'});
			socket.end();
			return;
		}

		const since = this.#options.now();
		const connection = await connectDirectly({...upstream.address, noDelay: true});
		if (connection.type === 'failed') {
			const scope = await this.#options.findSoundScope(upstream, since);
			this.#reply(socket, request, {type: 'absent', failure: connection.failure, scope});
			this.#options.onAbsent(upstream);
			socket.end();
			return;
		}

		if (socket.destroyed) {
			connection.socket.destroy();
			return;
		}

		this.#reply(socket, request, {type: 'connected', tunnels: this.#sockets.size});
		const key = formatTunnel(request);
		this.#carried.set(key, connection.socket);
		connection.socket.once('close', () => {
			this.#carried.delete(key);
		});
		carry(socket, connection.socket, isProper => {
			this.#carried.delete(key);
			this.#ends.record(key, {upstream, isProper, at: this.#options.now()});
		});
	}

	/** A reset may be due to the links of this host; a connection that ended without one is the upstream's work. */
	async #findEnd(request: TunnelRequest): Promise<CarriedEnd> {
		const key = formatTunnel(request);
		const carried = this.#carried.get(key);
		if (carried !== undefined && await isKnownOpen(carried, () => carried.readableEnded)) {
			return 'open';
		}

		const end = this.#ends.get(key);
		if (end === undefined) {
			return 'unknown';
		}

		return end.isProper ? 'proper' : (await this.#options.findSoundScope(end.upstream, end.at) === 'none' ? 'doubtful' : 'broken');
	}

	#createKey(host: string): Uint8Array {
		return createHmac('sha256', this.#secret).update(host).digest().subarray(0, tunnelKeyBytes);
	}

	#findRefusal(upstream: GatewayUpstream | undefined): TunnelReply | undefined {
		if (this.#isLeaving) {
			return {type: 'refused', reason: 'leaving'};
		}

		if (this.#sockets.size > maxTunnels) {
			return {type: 'refused', reason: 'busy'};
		}

		// Tunnels never lead through a third host.
		return upstream !== undefined && this.#options.findRoute(upstream).type === 'tunnel' ? {type: 'refused', reason: 'cut'} : undefined;
	}

	#reply(socket: Socket, {id, from, upstream}: TunnelRequest, reply: TunnelReply): void {
		socket.write(encodeTunnelMessage(reply));
		const fields = {tunnel: id, peer: from, upstream};
		switch (reply.type) {
			case 'connected': {
				this.#options.onResult('connected');
				this.#options.log.write({event: 'tunnel-served', ...fields});
				return;
			}

			case 'absent': {
				this.#options.onResult('absent');
				this.#options.log.write({
					event: 'tunnel-refused', ...fields, reason: `upstream ${reply.failure}`, scope: reply.scope,
				});
				return;
			}

			case 'refused': {
				this.#options.onResult(reply.reason);
				this.#options.log.write({event: 'tunnel-refused', ...fields, reason: reply.reason});
				return;
			}

			case 'ended': {
				this.#options.onResult(`ended ${reply.end}`);
				this.#options.log.write({event: 'tunnel-end-stated', ...fields, end: reply.end});
				return;
			}

			default: {
				assertNever(reply);
			}
		}
	}

	#refuseInvalid(socket: Socket, reason: string): void {
		socket.destroy();
		this.#options.onResult('invalid');
		const now = this.#options.now();
		if (now - this.#invalidLoggedAt >= invalidLogIntervalMs) {
			this.#invalidLoggedAt = now;
			this.#options.log.write({event: 'tunnel-invalid', address: socket.remoteAddress, reason}, 'warn');
		}
	}
}

/** Hosts name their tunnels. */
function formatTunnel({from, id}: TunnelRequest): string {
	return `${from} ${id}`;
}

/** Carries bytes between a host and an upstream. Either side sees the end of the other as it was: properly, or by a reset. */
function carry(host: Socket, upstream: Socket, onEnd: (isProper: boolean) => void): void {
	const properEnd = probeEnd(upstream);
	const breakOff = () => {
		onEnd(false);
		resetSocket(host);
	};

	upstream.on('error', breakOff);
	upstream.once('end', () => {
		void (async () => {
			if (await properEnd) {
				onEnd(true);
				host.end();
			} else {
				breakOff();
			}
		})();
	});
	upstream.once('close', () => {
		// After a proper end, what is left is still sent.
		if (!upstream.readableEnded && !host.destroyed) {
			breakOff();
		}
	});
	host.once('close', () => {
		upstream.destroy();
	});
	host.pipe(upstream, {end: false});
	upstream.pipe(host, {end: false});
	host.once('end', () => {
		upstream.destroy();
	});
}
