/** Links to other hosts: at most one for each, whichever of the two opened it. */
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
import {Dial} from './dial.js';

export type LinkEvent = EventOf<'peer-connected' | 'peer-lost' | 'peer-message'>;

export type Listening = {
	/** Address to listen at; port 0 takes a free one. */
	readonly listen: Address;
	/** This host's first message on a link, made anew for each. */
	readonly hello: () => Hello;
	/** Takes what happens on the links. */
	readonly emit: (event: LinkEvent) => void;
	/** Takes the reason why a connection was refused or given up. */
	readonly report?: (host: string, reason: string) => void;
};

/** Connections that may be open at a time, those without a hello included. */
const connectionLimit = 512;

/** Hosts whose newest incarnation is remembered. */
const incarnationLimit = 4096;

/**
 * The links of one host.
 *
 * Two hosts that dial each other at once keep the connection that the host with the lower name opened. A connection of
 * an older incarnation than one already seen is refused.
 */
export class Links implements AsyncDisposable {
	/**
	 * @param listening - Address and callbacks.
	 * @returns Links that accept connections.
	 */
	static async listen(listening: Listening): Promise<Links> {
		const links = new Links(listening);
		links.#server.listen(listening.listen.port, listening.listen.host);
		await once(links.#server, 'listening');
		return links;
	}

	readonly traffic: Readonly<Traffic>;
	readonly #listening: Listening;
	readonly #server: Server;
	readonly #traffic: Traffic = {sent: 0, received: 0};
	readonly #open = new Set<Connection>();
	readonly #links = new Map<string, Connection>();
	readonly #dials = new Map<string, Dial>();
	/** Host that a dialled connection was meant for. */
	readonly #meant = new Map<Connection, string>();
	readonly #newest = new Map<string, number>();
	#isClosed = false;

	private constructor(listening: Listening) {
		this.#listening = listening;
		this.traffic = this.#traffic;
		this.#server = createServer({allowHalfOpen: true}, socket => {
			this.#adopt(socket, 'accepted');
		});
		this.#server.maxConnections = connectionLimit;
	}

	/** The port that is listened at. */
	get port(): number {
		const address = this.#server.address();
		return typeof address === 'object' ? (address?.port ?? 0) : 0;
	}

	/** Number of hosts linked now. */
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
		const known = this.#dials.get(host);
		if (known?.address.host === address.host && known.address.port === address.port) {
			return;
		}

		known?.[Symbol.dispose]();
		const dial = new Dial(address, () => !this.#links.has(host), socket => {
			this.#meant.set(this.#adopt(socket, 'dialled'), host);
		});
		this.#dials.set(host, dial);
	}

	/**
	 * Closes the link to a host and no longer dials it.
	 *
	 * @param host - Host.
	 */
	disconnect(host: string): void {
		this.#dials.get(host)?.[Symbol.dispose]();
		this.#dials.delete(host);
		this.#links.get(host)?.finish();
	}

	/**
	 * @param host - Host to send to.
	 * @param message - Message.
	 * @returns Whether a link took it; the link may still be lost before the host reads it.
	 */
	send(host: string, message: PeerMessage): boolean {
		return this.#links.get(host)?.send(message) ?? false;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isClosed = true;
		for (const dial of this.#dials.values()) {
			dial[Symbol.dispose]();
		}

		const closed = once(this.#server, 'close');
		this.#server.close();
		await Promise.all([...this.#open].map(async connection => connection[Symbol.asyncDispose]()));
		await closed;
	}

	#adopt(socket: Socket, side: Side): Connection {
		const connection = new Connection(socket, side, {
			hello: (from, hello) => {
				this.#greet(from, hello);
			},
			message: (from, message) => {
				this.#take(from, message);
			},
			closed: (from, reason) => {
				this.#forget(from, reason);
			},
		}, this.#traffic);
		this.#open.add(connection);
		connection.send(this.#listening.hello());
		return connection;
	}

	#greet(connection: Connection, hello: Hello): void {
		const {host, started} = hello.member.incarnation;
		if (host === this.#listening.hello().member.incarnation.host) {
			connection.destroy('this host itself');
			return;
		}

		if (started < (this.#newest.get(host) ?? 0)) {
			connection.destroy('an older incarnation');
			return;
		}

		const meant = this.#meant.get(connection);
		if (meant !== undefined && meant !== host) {
			// The address has passed to another host: it is told to the core, and linked only when the core asks for it.
			this.#listening.emit({type: 'peer-message', from: host, message: hello});
			connection.destroy(`${host} answers in place of ${meant}`);
			return;
		}

		this.#link(connection, hello);
	}

	#link(connection: Connection, hello: Hello): void {
		const {host, started} = hello.member.incarnation;
		const before = this.#links.get(host);
		if (before !== undefined && !this.#replaces(connection, before, hello)) {
			connection.retire();
			return;
		}

		this.#remember(host, started);
		this.#links.set(host, connection);
		this.#dials.get(host)?.succeed();
		const isSame = before?.greeting?.member.incarnation.started === started;
		if (before !== undefined) {
			before.retire();
			if (!isSame) {
				before.destroy('replaced by a newer incarnation');
				this.#listening.emit({type: 'peer-lost', host});
			}
		}

		if (!isSame) {
			this.#listening.emit({type: 'peer-connected', host});
		}

		this.#listening.emit({type: 'peer-message', from: host, message: hello});
	}

	#replaces(next: Connection, before: Connection, hello: Hello): boolean {
		const {host, started} = hello.member.incarnation;
		if (started !== before.greeting?.member.incarnation.started || next.side === before.side) {
			return true;
		}

		const self = this.#listening.hello().member.incarnation.host;
		return (next.side === 'dialled') === (self < host);
	}

	#remember(host: string, started: number): void {
		this.#newest.delete(host);
		this.#newest.set(host, started);
		if (this.#newest.size > incarnationLimit) {
			const [oldest] = this.#newest.keys();
			this.#newest.delete(oldest!);
		}
	}

	#take(connection: Connection, message: PeerMessage): void {
		const {host, started} = connection.greeting!.member.incarnation;
		if (this.#newest.get(host) === started) {
			this.#listening.emit({type: 'peer-message', from: host, message});
		}
	}

	#forget(connection: Connection, reason: string): void {
		this.#open.delete(connection);
		const host = connection.greeting?.member.incarnation.host;
		const meant = this.#meant.get(connection);
		this.#meant.delete(connection);
		if (this.#isClosed) {
			return;
		}

		this.#listening.report?.(host ?? meant ?? 'unknown', reason);
		if (host !== undefined && this.#links.get(host) === connection) {
			this.#links.delete(host);
			this.#listening.emit({type: 'peer-lost', host});
		}

		for (const each of new Set([host, meant])) {
			if (each !== undefined) {
				this.#dials.get(each)?.retry();
			}
		}
	}
}
