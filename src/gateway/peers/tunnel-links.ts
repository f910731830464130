/** Links to hosts outside this host's neighbours, opened on demand and only for offers of tunnels. They carry no load updates or state. */
import {createConnection, type Socket} from 'node:net';
import {type Address} from '../../core/index.js';
import {addressKey} from './known-peers.js';
import {type Link} from './link.js';
import {type Host, type Message} from './messages.js';

/** Time in milliseconds for a connection and the handshake. */
const openTimeoutMs = 300;

/** Links that other hosts may open to this one at once. */
const maxAccepted = 256;

export type TunnelLinksOptions = {
	/** Takes over the socket of a new connection. */
	readonly connected: (socket: Socket, address: Address) => void;
	/** Called when a host that this one dialled can't be linked, or no longer is. */
	readonly onClosed: (host: string) => void;
	/** Called with the offer of a host that this one dialled. */
	readonly onOffer: (from: Host, offer: unknown) => void;
	/** Returns the offer of this host for another one, if it makes one. */
	readonly createOffer: (host: string) => unknown;
};

export class TunnelLinks implements Disposable {
	readonly #options: TunnelLinksOptions;
	/** Hosts that are being dialled, by address, with the timer that gives up. */
	readonly #dialling = new Map<string, {readonly host: string; readonly timer: NodeJS.Timeout}>();
	/** Links that this host opened, by the name of the peer. */
	readonly #dialled = new Map<string, Link>();
	/** Links that others opened, by the name of the peer. */
	readonly #accepted = new Map<string, Link>();

	/**
	 * @param options - Called with what arrives.
	 */
	constructor(options: TunnelLinksOptions) {
		this.#options = options;
	}

	/**
	 * @param host - Known host that this one isn't linked with.
	 */
	dial({name, address}: Host): void {
		const key = addressKey(address);
		const socket = createConnection({host: address.host, port: address.port});
		const giveUp = () => {
			socket.destroy();
			this.#forgetDial(key);
		};

		this.#dialling.set(key, {host: name, timer: setTimeout(giveUp, openTimeoutMs)});
		socket.once('connect', () => {
			this.#options.connected(socket, address);
		});
		socket.on('error', giveUp);
		socket.once('close', giveUp);
	}

	/**
	 * Takes over a link after its handshake.
	 *
	 * @param link - Link for tunnels only.
	 */
	add(link: Link): void {
		const {name} = link.hello!.from;
		const links = link.isDialled ? this.#dialled : this.#accepted;
		if (!link.isDialled && links.size >= maxAccepted) {
			link.close('too many links for tunnels');
			return;
		}

		const previous = links.get(name);
		links.set(name, link);
		previous?.close('replaced');
		if (!link.isDialled) {
			link.send({type: 'heartbeat', tunnel: this.#options.createOffer(name)});
		}
	}

	/**
	 * @param link - Link for tunnels only.
	 * @param message - Message received over it; only offers count.
	 */
	handleMessage(link: Link, message: Message): void {
		const {from} = link.hello!;
		if (!link.isDialled || message.type !== 'heartbeat' || message.tunnel === undefined || this.#dialled.get(from.name) !== link) {
			return;
		}

		const dial = this.#dialling.get(addressKey(link.dialledAddress!));
		if (dial !== undefined) {
			clearTimeout(dial.timer);
			this.#dialling.delete(addressKey(link.dialledAddress!));
		}

		this.#options.onOffer(from, message.tunnel);
	}

	/**
	 * @param link - Link for tunnels only that was closed.
	 */
	handleClose(link: Link): void {
		const name = link.hello?.from.name;
		if (link.dialledAddress !== undefined) {
			this.#forgetDial(addressKey(link.dialledAddress));
		}

		if (name !== undefined && this.#accepted.get(name) === link) {
			this.#accepted.delete(name);
		}

		if (name !== undefined && this.#dialled.get(name) === link) {
			this.#dialled.delete(name);
			this.#options.onClosed(name);
		}
	}

	/**
	 * @param host - Name of a host whose link for tunnels isn't needed any more.
	 */
	release(host: string): void {
		this.#dialled.get(host)?.closeAfterFlush();
	}

	/** Sends the offer of this host to those that opened a link for it. */
	announceOffer(): void {
		for (const [name, link] of this.#accepted) {
			link.send({type: 'heartbeat', tunnel: this.#options.createOffer(name)});
		}
	}

	/** Shows the other ends that this host is alive; to be called at intervals. */
	heartbeat(): void {
		for (const link of [...this.#accepted.values(), ...this.#dialled.values()]) {
			link.send({type: 'heartbeat'});
		}
	}

	[Symbol.dispose](): void {
		for (const {timer} of this.#dialling.values()) {
			clearTimeout(timer);
		}

		this.#dialling.clear();
	}

	#forgetDial(key: string): void {
		const dial = this.#dialling.get(key);
		if (dial !== undefined) {
			clearTimeout(dial.timer);
			this.#dialling.delete(key);
			this.#options.onClosed(dial.host);
		}
	}
}
