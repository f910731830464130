/** One TCP connection to another host, which reads and writes framed messages and bounds the send buffer. */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {codes, messageOf, type Address} from '../../core/index.js';
import {maxHandshakeMessageBytes, type Authentication} from './authentication.js';
import {type RefusalReason} from './foreign-hosts.js';
import {
	encode, createMessageReader, maxHelloBytes, maxMessageBytes, type Hello, type Message,
} from './messages.js';

/** Unsent data above which the connection to a slow peer is closed. */
const maxSendBufferBytes = 4_000_000;

export type LinkEvents = {
	/** The peer has proved that it knows a key of the fleet. */
	readonly authenticated?: (link: Link) => void;
	/** The handshake has failed; `detail` states why. */
	readonly failed?: (link: Link, reason: RefusalReason, detail: string) => void;
	readonly hello: (link: Link, hello: Hello) => void;
	readonly message: (link: Link, message: Message) => void;
	readonly closed: (link: Link, reason: string) => void;
};

/** What a link is for. */
export type LinkPurpose
	/** Everything that linked hosts exchange. */
	= | 'all'
	/** Offers of tunnels only. */
		| 'tunnels';

export type Handshake = {
	/** What this host opened the connection for; everything if absent. */
	readonly purpose?: LinkPurpose;
	/** Address that this host dialled; absent if the peer opened the connection. */
	readonly dialledAddress?: Address;
	/** Authentication that precedes all other messages, if one is needed. */
	readonly authentication?: Authentication;
};

export class Link {
	/** Whether this host opened the connection. */
	readonly isDialled: boolean;
	/** Address that this host dialled; undefined if the peer opened the connection. */
	readonly dialledAddress: Address | undefined;
	/** IP address of the peer. */
	readonly remoteAddress: string;
	/** What this host opened the connection for. */
	readonly #purpose: LinkPurpose;
	readonly #socket: Socket;
	readonly #reader = createMessageReader(maxHelloBytes);
	readonly #events: LinkEvents;
	/** Frames to be sent with one system call. */
	#pendingFrames: Uint8Array[] = [];
	#flushTimer: NodeJS.Timeout | undefined;
	/** Authentication in progress. */
	#authentication: Authentication | undefined;
	#isAccepted = false;
	/** Whether nothing more is read, as the peer belongs to another fleet. */
	#isRefused = false;
	#hello: Hello | undefined;
	#closeReason = 'closed by the peer';

	/**
	 * @param socket - Connected socket, owned by the link from now on.
	 * @param isDialled - Whether this host opened the connection.
	 * @param events - Listeners.
	 * @param handshake - What the handshake needs.
	 */
	constructor(socket: Socket, isDialled: boolean, events: LinkEvents, {dialledAddress, authentication, purpose = 'all'}: Handshake = {}) {
		this.isDialled = isDialled;
		this.dialledAddress = dialledAddress;
		this.#purpose = purpose;
		this.remoteAddress = socket.remoteAddress ?? 'unknown';
		this.#authentication = authentication;
		this.#socket = socket;
		this.#events = events;
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.#readMessages(chunk);
		});
		socket.on('error', error => {
			this.#closeReason = error.message;
		});
		socket.on('end', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			clearTimeout(this.#flushTimer);
			events.closed(this, this.#closeReason);
		});
		if (authentication !== undefined) {
			this.#reader.setLimit(maxHandshakeMessageBytes);
			this.send(authentication.challenge);
		}
	}

	/** The peer's handshake, once received. */
	get hello(): Hello | undefined {
		return this.#hello;
	}

	/** What the link is for, as the host that opened the connection says. */
	get purpose(): LinkPurpose {
		return this.isDialled ? this.#purpose : this.#hello?.purpose ?? 'all';
	}

	/**
	 * Sends a frame after the pending ones. Closes the connection if the send buffer is full, as the peer reads too slowly.
	 *
	 * @param frame - Encoded message.
	 */
	write(frame: Uint8Array): void {
		this.#pendingFrames.push(frame);
		this.flush();
	}

	/**
	 * Sends a frame together with others.
	 *
	 * @param frame - Encoded message.
	 * @param delay - Milliseconds that the frame may wait.
	 */
	writeBatched(frame: Uint8Array, delay: number): void {
		this.#pendingFrames.push(frame);
		this.#flushTimer ??= setTimeout(() => {
			this.flush();
		}, delay);
	}

	/** Sends all pending frames with one system call. */
	flush(): void {
		clearTimeout(this.#flushTimer);
		this.#flushTimer = undefined;
		const frames = this.#pendingFrames;
		this.#pendingFrames = [];
		if (this.#socket.writableLength > maxSendBufferBytes) {
			this.close('too slow');
		} else if (this.#socket.writable && frames.length > 0) {
			this.#socket.write(frames.length === 1 ? frames[0]! : Buffer.concat(frames));
		}
	}

	send(message: Message): void {
		this.write(encode(message));
	}

	/** Lets the peer send messages of any length, as it belongs to the same fleet. */
	accept(): void {
		this.#isAccepted = true;
		this.#reader.setLimit(maxMessageBytes);
	}

	/** Informs the peer that it belongs to another fleet, closes the connection and reads nothing more. */
	refuseForeign(): void {
		if (!this.#isRefused) {
			this.#isRefused = true;
			this.#closeReason = 'another fleet';
			this.send({type: 'foreign', code: codes.foreignHost});
			this.closeAfterFlush();
		}
	}

	/** Sends all pending frames, then closes the connection. */
	closeAfterFlush(): void {
		this.flush();
		this.#socket.end();
	}

	/**
	 * Closes the connection at once and drops what hasn't been sent.
	 *
	 * @param reason - Reason for the log.
	 */
	close(reason: string): void {
		if (!this.#socket.destroyed) {
			this.#closeReason = reason;
			this.#socket.destroy();
		}
	}

	#readMessages(chunk: Uint8Array): void {
		if (this.#isRefused) {
			return;
		}

		try {
			for (const message of this.#reader.read(chunk)) {
				this.#handleMessage(message);
				if (this.#isRefused || this.#socket.destroyed) {
					return;
				}
			}
		} catch (error) {
			this.#handleInvalid(messageOf(error));
		}
	}

	#handleInvalid(detail: string): void {
		if (!this.#isAccepted) {
			this.#events.failed?.(this, this.#authentication === undefined ? 'invalid' : 'foreign', detail);
		}

		if (!this.#isRefused) {
			this.close(detail);
		}
	}

	#handleMessage(message: Message): void {
		if (this.#socket.destroyed) {
			return;
		}

		if (this.#authentication !== undefined) {
			this.#authenticate(this.#authentication, message);
			return;
		}

		switch (message.type) {
			case 'hello': {
				if (this.#hello !== undefined) {
					// Under a second name, the link would remain listed under the first one when it closes.
					this.close('repeated hello');
					return;
				}

				this.#hello = message;
				this.#events.hello(this, message);
				return;
			}

			case 'challenge':
			case 'proof': {
				this.#events.failed?.(this, 'foreign', 'requires a key');
				return;
			}

			case 'foreign': {
				this.#events.failed?.(this, 'foreign', 'refused by the peer');
				return;
			}

			default: {
				this.#events.message(this, message);
			}
		}
	}

	#authenticate(authentication: Authentication, message: Message): void {
		const step = authentication.handle(message);
		if (step.type === 'failed') {
			this.#events.failed?.(this, 'foreign', step.reason);
			return;
		}

		if (step.reply !== undefined) {
			this.send(step.reply);
		}

		if (step.type === 'done') {
			this.#authentication = undefined;
			this.#reader.setLimit(maxHelloBytes);
			this.#events.authenticated?.(this);
		}
	}
}
