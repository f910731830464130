/**
 * Connects to upstreams: over the link of this host, or over another host if that link is cut. What another host gets from an upstream while
 * this one doesn't shows that the link is cut.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Socket, type TcpNetConnectOpts} from 'node:net';
import {assertNever} from '../../core/index.js';
import {type StatedEnd} from '../../core/gateway/health/connection-ends.js';
import {
	type LinkFailure, type LinkFault, type Links, type LinkRoute, type LinkScope,
} from '../../core/gateway/health/links.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type Log} from '../../entry/logs.js';
import {closeConnection, connectDirectly, type ConnectionResult} from '../tunnels/direct-connection.js';
import {type TunnelPeers, type TunnelVerification} from '../tunnels/tunnel-peers.js';
import {type TunnelSearchResult} from '../tunnels/tunnel-search.js';
import {type LinkProbe} from './link-probe.js';

/** Time in milliseconds after which a tunnel is opened beside a connection that isn't established yet. */
const tunnelDelayMs = 60;

/** Time in milliseconds without an answer to a check after which another host is asked, and after an answer over that host. */
const answerDelayMs = 150;
const muteMarginMs = 250;

/** Tunnel that a connection leads through. */
export type Tunnel = {
	/** Id of the tunnel, in the logs of both hosts. */
	readonly id: string;
	/** Name of the other host. */
	readonly peer: string;
	/** Asks the other host how the tunnel ended. */
	readonly askEnd: () => Promise<StatedEnd>;
};

/** No connection could be established: nothing was sent. */
export class ConnectionFailure extends Error {
	readonly failure: LinkFailure;
	/** Whether the own link may be to blame, as nothing shows that the upstream is gone. */
	readonly isLinkDoubtful: boolean;

	/**
	 * @param failure - How it failed.
	 * @param detail - What happened.
	 * @param isLinkDoubtful - Whether the own link may be to blame.
	 */
	constructor(failure: LinkFailure, detail: string, isLinkDoubtful = false) {
		super(detail);
		this.failure = failure;
		this.isLinkDoubtful = isLinkDoubtful;
	}
}

/** What has become known of a link. */
export type LinkChange
	/** Another host reaches an upstream, and this one doesn't. */
	= | {readonly type: 'cut'; readonly upstream: GatewayUpstream}
	/** No host that was asked reaches an upstream, and nothing shows that it is gone. */
		| {readonly type: 'lost'}
		| {readonly type: 'restored'};

export type ConnectorOptions = {
	readonly links: Links;
	readonly peers: TunnelPeers;
	readonly probe: Pick<LinkProbe, 'isAnswered'>;
	readonly log: Pick<Log, 'write'>;
	readonly now: () => number;
	/** Returns the upstream that is registered at an address. */
	readonly findUpstream: (address: string) => GatewayUpstream | undefined;
	/** Draws another upstream of the group of an upstream, and one of another group, as far as there are any. */
	readonly listOthers: (upstream: GatewayUpstream) => readonly GatewayUpstream[];
	readonly onChange: (change: LinkChange) => void;
	/** Called with the result of each search for a tunnel. */
	readonly onTunnel: (result: TunnelSearchResult['type']) => void;
};

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

		const route = links.findRoute(upstream);
		return route.type === 'tunnel' ? this.#connectOverTunnel(upstream, options, route.fault) : this.#race(upstream, options);
	}

	/**
	 * Checks the link to an upstream with a connection that is closed afterwards.
	 *
	 * @param upstream - Upstream.
	 */
	async check(upstream: GatewayUpstream): Promise<void> {
		const route = this.#options.links.findRoute(upstream);
		switch (route.type) {
			case 'direct': {
				await this.#compare(upstream);
				return;
			}

			case 'tunnel': {
				await this.#checkRestored(upstream, route.fault);
				return;
			}

			default: {
				assertNever(route);
			}
		}
	}

	/**
	 * Looks for a host that connects to an upstream again after searches have failed.
	 *
	 * @param upstream - Upstream that this host doesn't reach over its own link.
	 */
	async scout(upstream: GatewayUpstream): Promise<void> {
		const route = this.#options.links.findRoute(upstream);
		const search = await this.#search(upstream, createEndlessSignal(), route.type === 'tunnel' ? this.#createVerification(upstream, route.fault) : undefined);
		if (search.type === 'connected') {
			search.result.socket.destroy();
		}
	}

	/**
	 * Finds out whether the links of this host are sound, after it couldn't connect to an upstream.
	 *
	 * @param upstream - Upstream.
	 * @param since - Time in milliseconds; only what has worked since then counts.
	 * @returns To which other upstreams they are.
	 */
	async findSoundScope(upstream: GatewayUpstream, since: number): Promise<LinkScope> {
		const {links, listOthers} = this.#options;
		if (links.findSoundScope(upstream, since) !== 'group') {
			await Promise.all(listOthers(upstream).map(async other => {
				const result = await connectDirectly({...other.address});
				this.#recordDirect(other, result);
				closeConnection(result);
			}));
		}

		return links.findSoundScope(upstream, since);
	}

	/** Compares what this host and another one get from an upstream: first connections, then answers. */
	async #compare(upstream: GatewayUpstream): Promise<void> {
		const {peers} = this.#options;
		const connecting = connectDirectly({...upstream.address});
		const finding = this.#findOwnFault(upstream, connecting);
		const early = await Promise.race([connecting, sleep(tunnelDelayMs, 'late' as const)]);
		if (early !== 'late' && early.type === 'connected' && await Promise.race([finding, sleep(answerDelayMs, 'late' as const)]) === 'none') {
			return;
		}

		const search = peers.isAvailable ? await this.#search(upstream, createEndlessSignal()) : undefined;
		const result = await connecting;
		if (search?.type === 'connected') {
			await this.#compareWith(search, upstream, {result, finding});
		} else if (search?.type === 'none' && result.type === 'failed') {
			this.#recordLoss(upstream, result.failure);
		}
	}

	async #compareWith({peer, result: {socket}}: Extract<TunnelSearchResult, {readonly type: 'connected'}>, upstream: GatewayUpstream, own: {
		readonly result: ConnectionResult;
		readonly finding: Promise<LinkFault | 'none'>;
	}): Promise<void> {
		if (own.result.type === 'failed') {
			socket.destroy();
			this.#recordCut(upstream, findFault(own.result));
			return;
		}

		if (!(await this.#options.probe.isAnswered(upstream, socket))) {
			this.#options.peers.distrust(peer, upstream);
			return;
		}

		const first = await Promise.race([own.finding, sleep(muteMarginMs, 'late' as const)]);
		const fault = first === 'mute' ? await this.#findFaultAgain(upstream) : first;
		if (fault !== 'none') {
			this.#recordCut(upstream, fault === 'late' ? 'mute' : fault);
		}
	}

	/** An upstream that was silent itself may answer again since the check of the own link was given up. */
	async #findFaultAgain(upstream: GatewayUpstream): Promise<LinkFault | 'none'> {
		const finding = this.#findOwnFault(upstream, connectDirectly({...upstream.address}));
		return Promise.race([finding, sleep(muteMarginMs, 'mute' as const)]);
	}

	/** Returns what is wrong with the own link to an upstream, as far as the own link shows. */
	async #findOwnFault(upstream: GatewayUpstream, connecting: Promise<ConnectionResult>): Promise<LinkFault | 'none'> {
		const result = await connecting;
		if (result.type === 'failed') {
			return findFault(result);
		}

		this.#recordDirect(upstream, result);
		return await this.#isAnsweredDirectly(upstream, result.socket) ? 'none' : 'mute';
	}

	async #isAnsweredDirectly(upstream: GatewayUpstream, socket: Socket): Promise<boolean> {
		const {probe, links, now} = this.#options;
		const isAnswered = await probe.isAnswered(upstream, socket);
		if (isAnswered) {
			this.#noteRestored(upstream, links.recordAnswer(upstream, now()));
		}

		return isAnswered;
	}

	/** Links behind something that accepts connections are restored by an answer only. */
	async #checkRestored(upstream: GatewayUpstream, fault: LinkFault): Promise<void> {
		const result = await connectDirectly({...upstream.address});
		this.#recordDirect(upstream, result);
		if (result.type === 'connected' && fault === 'mute') {
			await this.#isAnsweredDirectly(upstream, result.socket);
		}

		closeConnection(result);
	}

	async #connectOverTunnel(upstream: GatewayUpstream, options: TcpNetConnectOpts, fault: LinkFault): Promise<Socket> {
		const {peers, links} = this.#options;
		const search = peers.isHopeless(upstream) ? undefined : await this.#search(upstream, createEndlessSignal(), this.#createVerification(upstream, fault));
		switch (search?.type) {
			case 'connected': {
				return search.result.socket;
			}

			case 'absent': {
				links.forget(upstream.id);
				throw new ConnectionFailure(search.failure, `${search.failure} at other hosts as well`);
			}

			case 'none':
			case undefined: {
				return this.#connectInVain(upstream, options, fault);
			}

			default: {
				return assertNever(search);
			}
		}
	}

	/** Tries the own link only where that fails at once: callers are refused rather than kept waiting. */
	async #connectInVain(upstream: GatewayUpstream, options: TcpNetConnectOpts, fault: LinkFault): Promise<Socket> {
		if (fault !== 'refused') {
			throw new ConnectionFailure('silent', 'no host reaches it', true);
		}

		const result = await connectDirectly(options);
		this.#recordDirect(upstream, result);
		return takeSocket(result, true);
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
		const isLinkDoubtful = result.type === 'failed' && search?.type !== 'absent';
		if (isLinkDoubtful) {
			this.#recordLoss(upstream, result.failure);
		}

		return takeSocket(result, isLinkDoubtful);
	}

	/** Records what became of a direct connection that a tunnel was faster than. */
	async #concludeRace(upstream: GatewayUpstream, connecting: Promise<ConnectionResult>): Promise<void> {
		const result = await connecting;
		if (result.type === 'connected') {
			result.socket.destroy();
			this.#recordDirect(upstream, result);
		} else {
			this.#recordCut(upstream, findFault(result));
		}
	}

	/** Searches for a tunnel once the direct connection has failed or takes long. */
	async #searchAfter(upstream: GatewayUpstream, connecting: Promise<ConnectionResult>, signal: AbortSignal): Promise<TunnelSearchResult> {
		const delay = new Promise<'late'>(resolve => {
			const timer = setTimeout(resolve, tunnelDelayMs, 'late');
			signal.addEventListener('abort', () => {
				clearTimeout(timer);
			}, {once: true});
		});
		const first = await Promise.race([connecting, delay]);
		const isNeedless = (first !== 'late' && first.type === 'connected') || this.#options.peers.isHopeless(upstream);
		return isNeedless ? {type: 'none'} : this.#search(upstream, signal);
	}

	/** Where something accepts connections without passing anything, a connection of another host needs an answer as well. */
	#createVerification(upstream: GatewayUpstream, fault: LinkFault): TunnelVerification | undefined {
		return fault === 'mute' ? async socket => this.#options.probe.isAnswered(upstream, socket) : undefined;
	}

	async #search(upstream: GatewayUpstream, signal: AbortSignal, verify?: TunnelVerification): Promise<TunnelSearchResult> {
		const search = await this.#options.peers.search(upstream, signal, verify);
		if (!signal.aborted) {
			this.#options.onTunnel(search.type);
		}

		if (search.type === 'connected') {
			tunnels.set(search.result.socket, {
				id: search.tunnel, peer: search.peer, askEnd: async () => this.#options.peers.askEnd(search, upstream),
			});
			this.#options.log.write({
				event: 'tunnel-opened', tunnel: search.tunnel, peer: search.peer, upstream: upstream.id,
			});
		}

		return search;
	}

	#recordDirect(upstream: GatewayUpstream, result: ConnectionResult): void {
		const {links, now} = this.#options;
		if (result.type === 'connected') {
			this.#noteRestored(upstream, links.recordConnection(upstream, now()));
		}
	}

	#noteRestored(upstream: GatewayUpstream, isRestored: boolean): void {
		const {log, onChange} = this.#options;
		if (isRestored) {
			log.write({event: 'link-restored', upstream: upstream.id, domain: upstream.failureDomain});
			onChange({type: 'restored'});
		}
	}

	#recordCut(upstream: GatewayUpstream, fault: LinkFault): void {
		const {links, log, now, onChange} = this.#options;
		if (links.recordCut(upstream, fault, now())) {
			log.write({
				event: 'link-cut', upstream: upstream.id, domain: upstream.failureDomain, failure: fault,
			}, 'warn');
			onChange({type: 'cut', upstream});
		}
	}

	#recordLoss(upstream: GatewayUpstream, failure: LinkFailure): void {
		const {links, now, onChange} = this.#options;
		links.recordLoss(upstream, failure, now());
		onChange({type: 'lost'});
	}
}

/**
 * @param result - Result of a direct connection.
 * @param isLinkDoubtful - Whether the own link may be to blame if there is no connection.
 * @returns The connection.
 * @throws ConnectionFailure if there is none.
 */
export function takeSocket(result: ConnectionResult, isLinkDoubtful = false): Socket {
	if (result.type === 'failed') {
		throw new ConnectionFailure(result.failure, result.detail, isLinkDoubtful);
	}

	return result.socket;
}

function findFault({failure, isReset}: Extract<ConnectionResult, {readonly type: 'failed'}>): LinkFault {
	return isReset ? 'mute' : failure;
}

/** A signal for one search that nobody ends: Node.js warns of signals with many listeners. */
function createEndlessSignal(): AbortSignal {
	return new AbortController().signal;
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

async function closeUnused(searching: Promise<TunnelSearchResult>): Promise<void> {
	const search = await searching;
	if (search.type === 'connected') {
		search.result.socket.destroy();
	}
}
