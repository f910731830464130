/** One TCP connection to another host: frames in and out, silence and buffers bounded. */
import {Buffer} from 'node:buffer';
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
	/** Frames that wait to be sent together. */
	#waiting: Uint8Array[] = [];
	#timer: NodeJS.Timeout | undefined;
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
			clearTimeout(this.#timer);
			events.closed(this, this.#reason);
		});
	}

	/** The peer's first message, once it has come. */
	get greeting(): Hello | undefined {
		return this.#greeting;
	}

	/**
	 * @param bytes - Frame to send, after those that wait; a peer that takes nothing loses its connection.
	 */
	write(bytes: Uint8Array): void {
		this.#waiting.push(bytes);
		this.flush();
	}

	/**
	 * Sends a frame together with others.
	 *
	 * @param bytes - Frame.
	 * @param delay - Milliseconds that it may wait.
	 */
	writeWithin(bytes: Uint8Array, delay: number): void {
		this.#waiting.push(bytes);
		this.#timer ??= setTimeout(() => {
			this.flush();
		}, delay);
	}

	/** Sends what waits, in one call of the system. */
	flush(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		const frames = this.#waiting;
		this.#waiting = [];
		if (this.#socket.writableLength > sendBuffer) {
			this.close('too slow');
		} else if (this.#socket.writable && frames.length > 0) {
			this.#socket.write(frames.length === 1 ? frames[0]! : Buffer.concat(frames));
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
		this.flush();
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
