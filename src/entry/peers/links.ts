/** Links to other hosts: at most one connection per host, regardless of which side opened it. */
import {once} from 'node:events';
import {
	createServer, type Server, type Socket,
} from 'node:net';
import {type Address, type EventOf, type PeerMessage} from '../../core/index.js';
import {
	Connection,
	type Hello,
	type Side,
	type Traffic,
} from './connection.js';
import {Dialer} from './dialer.js';

export type LinkEvent = EventOf<'peer-connected' | 'peer-lost' | 'peer-message'>;

export type LinksOptions = {
	/** Address to listen at; port 0 picks a free port. */
	readonly listen: Address;
	/** Creates this host's first message on a connection. */
	readonly hello: () => Hello;
	/** Receives the events of all links. */
	readonly emit: (event: LinkEvent) => void;
	/** Receives the reason when a connection is refused or closed. */
	readonly report?: (host: string, reason: string) => void;
};

/** Maximum number of open connections, including those that haven't sent a hello yet. */
const maxConnections = 512;

/** Maximum number of hosts whose newest incarnation is remembered. */
const maxRememberedIncarnations = 4096;

/**
 * The links of one host.
 *
 * If two hosts dial each other at the same time, they keep the connection that the host with the lower name opened. A connection
 * from an older incarnation than one already seen is refused.
 */
export class Links implements AsyncDisposable {
	/** Starts listening and resolves to links that accept connections. */
	static async listen(options: LinksOptions): Promise<Links> {
		const links = new Links(options);
		links.#server.listen(options.listen.port, options.listen.host);
		await once(links.#server, 'listening');
		return links;
	}

	readonly traffic: Readonly<Traffic>;
	readonly #options: LinksOptions;
	readonly #server: Server;
	readonly #traffic: Traffic = {sent: 0, received: 0};
	readonly #connections = new Set<Connection>();
	readonly #links = new Map<string, Connection>();
	readonly #dialers = new Map<string, Dialer>();
	/** The host expected at the other end of each dialled connection. */
	readonly #expectedHosts = new Map<Connection, string>();
	readonly #newestIncarnations = new Map<string, number>();
	#isClosed = false;

	private constructor(options: LinksOptions) {
		this.#options = options;
		this.traffic = this.#traffic;
		this.#server = createServer({allowHalfOpen: true}, socket => {
			this.#addConnection(socket, 'accepted');
		});
		this.#server.maxConnections = maxConnections;
	}

	/** The port listened at. */
	get port(): number {
		const address = this.#server.address();
		return typeof address === 'object' ? (address?.port ?? 0) : 0;
	}

	/** Number of linked hosts. */
	get count(): number {
		return this.#links.size;
	}

	/**
	 * Opens a link and keeps it open until {@link disconnect}.
	 *
	 * @param host - Host expected at the address.
	 * @param address - Its peer address.
	 */
	connect(host: string, address: Address): void {
		const existing = this.#dialers.get(host);
		if (existing?.address.host === address.host && existing.address.port === address.port) {
			return;
		}

		existing?.[Symbol.dispose]();
		const dialer = new Dialer(address, () => !this.#links.has(host), socket => {
			this.#expectedHosts.set(this.#addConnection(socket, 'dialled'), host);
		});
		this.#dialers.set(host, dialer);
	}

	/**
	 * Closes the link to a host and stops dialling it.
	 *
	 * @param host - Name of the host.
	 */
	disconnect(host: string): void {
		this.#dialers.get(host)?.[Symbol.dispose]();
		this.#dialers.delete(host);
		this.#links.get(host)?.finish();
	}

	/**
	 * Sends a message to a linked host.
	 *
	 * @param host - Name of the host.
	 * @param message - Message to send.
	 * @returns Whether the message was queued; it is lost if the link closes before the host reads it.
	 */
	send(host: string, message: PeerMessage): boolean {
		return this.#links.get(host)?.send(message) ?? false;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isClosed = true;
		for (const dialer of this.#dialers.values()) {
			dialer[Symbol.dispose]();
		}

		const closed = once(this.#server, 'close');
		this.#server.close();
		await Promise.all([...this.#connections].map(async connection => connection[Symbol.asyncDispose]()));
		await closed;
	}

	#addConnection(socket: Socket, side: Side): Connection {
		const connection = new Connection(socket, side, {
			hello: (from, hello) => {
				this.#handleHello(from, hello);
			},
			message: (from, message) => {
				this.#handleMessage(from, message);
			},
			closed: (from, reason) => {
				this.#handleClosed(from, reason);
			},
		}, this.#traffic);
		this.#connections.add(connection);
		connection.send(this.#options.hello());
		return connection;
	}

	#handleHello(connection: Connection, hello: Hello): void {
		const {host, started} = hello.member.incarnation;
		if (host === this.#options.hello().member.incarnation.host) {
			connection.destroy('this host itself');
			return;
		}

		if (started < (this.#newestIncarnations.get(host) ?? 0)) {
			connection.destroy('an older incarnation');
			return;
		}

		const expectedHost = this.#expectedHosts.get(connection);
		if (expectedHost !== undefined && expectedHost !== host) {
			// Another host now has this address. The core receives its hello and decides whether to link it.
			this.#options.emit({type: 'peer-message', from: host, message: hello});
			connection.destroy(`${host} answers in place of ${expectedHost}`);
			return;
		}

		this.#addLink(connection, hello);
	}

	#addLink(connection: Connection, hello: Hello): void {
		const {host, started} = hello.member.incarnation;
		const current = this.#links.get(host);
		if (current !== undefined && !this.#canReplace(connection, current, hello)) {
			connection.retire();
			return;
		}

		this.#recordIncarnation(host, started);
		this.#links.set(host, connection);
		this.#dialers.get(host)?.resetDelay();
		const isSameIncarnation = current?.peerHello?.member.incarnation.started === started;
		if (current !== undefined) {
			current.retire();
			if (!isSameIncarnation) {
				current.destroy('replaced by a newer incarnation');
				this.#options.emit({type: 'peer-lost', host});
			}
		}

		if (!isSameIncarnation) {
			this.#options.emit({type: 'peer-connected', host});
		}

		this.#options.emit({type: 'peer-message', from: host, message: hello});
	}

	#canReplace(next: Connection, current: Connection, hello: Hello): boolean {
		const {host, started} = hello.member.incarnation;
		if (started !== current.peerHello?.member.incarnation.started || next.side === current.side) {
			return true;
		}

		const self = this.#options.hello().member.incarnation.host;
		return (next.side === 'dialled') === (self < host);
	}

	#recordIncarnation(host: string, started: number): void {
		this.#newestIncarnations.delete(host);
		this.#newestIncarnations.set(host, started);
		if (this.#newestIncarnations.size > maxRememberedIncarnations) {
			const [oldest] = this.#newestIncarnations.keys();
			this.#newestIncarnations.delete(oldest!);
		}
	}

	#handleMessage(connection: Connection, message: PeerMessage): void {
		const {host, started} = connection.peerHello!.member.incarnation;
		if (this.#newestIncarnations.get(host) === started) {
			this.#options.emit({type: 'peer-message', from: host, message});
		}
	}

	#handleClosed(connection: Connection, reason: string): void {
		this.#connections.delete(connection);
		const host = connection.peerHello?.member.incarnation.host;
		const expectedHost = this.#expectedHosts.get(connection);
		this.#expectedHosts.delete(connection);
		if (this.#isClosed) {
			return;
		}

		this.#options.report?.(host ?? expectedHost ?? 'unknown', reason);
		if (host !== undefined && this.#links.get(host) === connection) {
			this.#links.delete(host);
			this.#options.emit({type: 'peer-lost', host});
		}

		for (const each of new Set([host, expectedHost])) {
			if (each !== undefined) {
				this.#dialers.get(each)?.scheduleRetry();
			}
		}
	}
}
