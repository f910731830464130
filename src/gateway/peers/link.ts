/** One TCP connection to another host, which reads and writes framed messages and bounds the send buffer. */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {messageOf} from '../../core/index.js';
import {
	encode, createMessageReader, type Hello, type Message,
} from './messages.js';

/** Unsent data above which the connection to a slow peer is closed. */
const maxSendBufferBytes = 4_000_000;

export type LinkEvents = {
	readonly hello: (link: Link, hello: Hello) => void;
	readonly message: (link: Link, message: Message) => void;
	readonly closed: (link: Link, reason: string) => void;
};

export class Link {
	/** Whether this host opened the connection. */
	readonly isDialled: boolean;
	readonly #socket: Socket;
	readonly #reader = createMessageReader();
	readonly #events: LinkEvents;
	/** Frames to be sent with one system call. */
	#pendingFrames: Uint8Array[] = [];
	#flushTimer: NodeJS.Timeout | undefined;
	#hello: Hello | undefined;
	#closeReason = 'closed by the peer';

	/**
	 * @param socket - Connected socket, owned by the link from now on.
	 * @param isDialled - Whether this host opened the connection.
	 * @param events - Listeners.
	 */
	constructor(socket: Socket, isDialled: boolean, events: LinkEvents) {
		this.isDialled = isDialled;
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
	}

	/** The peer's handshake, once received. */
	get hello(): Hello | undefined {
		return this.#hello;
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
		try {
			for (const message of this.#reader.push(chunk)) {
				this.#handleMessage(message);
			}
		} catch (error) {
			this.close(messageOf(error));
		}
	}

	#handleMessage(message: Message): void {
		if (this.#socket.destroyed) {
			return;
		}

		if (message.type !== 'hello') {
			this.#events.message(this, message);
			return;
		}

		this.#hello = message;
		this.#events.hello(this, message);
	}
}
