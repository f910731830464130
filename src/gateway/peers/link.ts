/** One TCP connection to another host: frames in and out, silence and buffers bounded. */
import {type Socket} from 'node:net';
import {messageOf} from '../../core/index.js';
import {
	encode, messageReader, type Hello, type Message,
} from './messages.js';

/** Bytes that may wait for a slow peer before its connection is given up. */
const sendBuffer = 4_000_000;

export type LinkEvents = {
	readonly hello: (link: Link, hello: Hello) => void;
	readonly message: (link: Link, message: Message) => void;
	readonly closed: (link: Link, reason: string) => void;
};

/** A connection from its first byte to its last. */
export class Link {
	/** Whether this host opened it. */
	readonly isDialled: boolean;
	readonly #socket: Socket;
	readonly #reader = messageReader();
	readonly #events: LinkEvents;
	#greeting: Hello | undefined;
	#reason = 'closed by the peer';

	/**
	 * @param socket - Connection.
	 * @param isDialled - Whether this host opened it.
	 * @param events - Told of what comes.
	 */
	constructor(socket: Socket, isDialled: boolean, events: LinkEvents) {
		this.isDialled = isDialled;
		this.#socket = socket;
		this.#events = events;
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.#read(chunk);
		});
		socket.on('error', error => {
			this.#reason = error.message;
		});
		socket.on('end', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			events.closed(this, this.#reason);
		});
	}

	/** The peer's first message, once it has come. */
	get greeting(): Hello | undefined {
		return this.#greeting;
	}

	/**
	 * @param bytes - Frame to send; a peer that takes nothing loses its connection.
	 */
	write(bytes: Uint8Array): void {
		if (this.#socket.writableLength > sendBuffer) {
			this.close('too slow');
		} else if (this.#socket.writable) {
			this.#socket.write(bytes);
		}
	}

	/**
	 * @param message - Message to send.
	 */
	send(message: Message): void {
		this.write(encode(message));
	}

	/** Closes once everything has been sent. */
	finish(): void {
		this.#socket.end();
	}

	/**
	 * @param reason - Why it is closed, for the log.
	 */
	close(reason: string): void {
		if (!this.#socket.destroyed) {
			this.#reason = reason;
			this.#socket.destroy();
		}
	}

	#read(chunk: Uint8Array): void {
		try {
			for (const message of this.#reader.push(chunk)) {
				this.#take(message);
			}
		} catch (error) {
			this.close(messageOf(error));
		}
	}

	#take(message: Message): void {
		if (this.#socket.destroyed) {
			return;
		}

		if (message.type !== 'hello') {
			this.#events.message(this, message);
			return;
		}

		this.#greeting = message;
		this.#events.hello(this, message);
	}
}
