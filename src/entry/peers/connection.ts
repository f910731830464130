/** One TCP connection to another host: frames in and out, silence and buffers bounded. */
import {type Socket} from 'node:net';
import {isFailure, type PeerMessage} from '../../core/index.js';
import {encodeFrame, messageReader} from '../../protocol/peers.js';

export type Hello = Extract<PeerMessage, {readonly type: 'hello'}>;

/** Who opened a connection. */
export type Side = 'dialled' | 'accepted';

/** Bytes over every connection since the start. */
export type Traffic = {
	sent: number;
	received: number;
};

export type Events = {
	readonly hello: (connection: Connection, hello: Hello) => void;
	readonly message: (connection: Connection, message: PeerMessage) => void;
	readonly closed: (connection: Connection, reason: string) => void;
};

/** Bytes that may wait for a slow peer before its connection is given up. */
const sendBuffer = 4_000_000;

/** Milliseconds until the first message must have come, and of silence after it. */
const helloTimeout = 2000;
const silenceTimeout = 8000;

/** Milliseconds that a connection stays open after another has taken its place, so that both ends know the other. */
const retirement = 500;

/** A connection from its first byte to its last. */
export class Connection implements AsyncDisposable {
	readonly side: Side;
	readonly #socket: Socket;
	readonly #reader = messageReader();
	readonly #events: Events;
	readonly #traffic: Traffic;
	#greeting: Hello | undefined;
	#reason = 'closed by the peer';
	#retiring: NodeJS.Timeout | undefined;

	constructor(socket: Socket, side: Side, events: Events, traffic: Traffic) {
		this.side = side;
		this.#socket = socket;
		this.#events = events;
		this.#traffic = traffic;
		socket.setNoDelay(true);
		socket.setTimeout(helloTimeout);
		socket.on('data', chunk => {
			this.#read(chunk);
		});
		socket.on('timeout', () => {
			this.destroy('silent');
		});
		socket.on('error', error => {
			this.#reason = error.message;
		});
		socket.on('end', () => {
			socket.end();
		});
		socket.on('close', () => {
			clearTimeout(this.#retiring);
			events.closed(this, this.#reason);
		});
	}

	/** The peer's first message, once it has come. */
	get greeting(): Hello | undefined {
		return this.#greeting;
	}

	/**
	 * @param message - Message to send.
	 * @returns Whether it was queued; a peer that takes nothing loses its connection.
	 */
	send(message: PeerMessage): boolean {
		if (!this.#socket.writable) {
			return false;
		}

		const frame = encodeFrame(message);
		if (this.#socket.writableLength + frame.length > sendBuffer) {
			this.destroy('too slow');
			return false;
		}

		this.#socket.write(frame);
		this.#traffic.sent += frame.length;
		return true;
	}

	/** Sends no more and closes once the peer has read everything; what the peer still sends is taken. */
	finish(): void {
		this.#socket.end();
	}

	/** Finishes a little later, as another connection to the same host has taken its place. */
	retire(): void {
		this.#retiring ??= setTimeout(() => {
			this.finish();
		}, retirement);
	}

	/**
	 * Closes at once.
	 *
	 * @param reason - Why, for the log.
	 */
	destroy(reason: string): void {
		if (!this.#socket.destroyed) {
			this.#reason = reason;
			this.#socket.destroy();
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		if (this.#socket.closed) {
			return;
		}

		const closed = new Promise<void>(resolve => {
			this.#socket.once('close', () => {
				resolve();
			});
		});
		this.destroy('shut down');
		await closed;
	}

	#read(chunk: Uint8Array): void {
		this.#traffic.received += chunk.length;
		try {
			for (const message of this.#reader.push(chunk)) {
				this.#take(message);
			}
		} catch (error) {
			this.destroy(isFailure(error) ? `${error.code} ${error.message}` : String(error));
		}
	}

	#take(message: PeerMessage): void {
		if (this.#socket.destroyed) {
			return;
		}

		if (this.#greeting !== undefined) {
			this.#events.message(this, message);
			return;
		}

		if (message.type !== 'hello') {
			this.destroy('no hello');
			return;
		}

		this.#greeting = message;
		this.#socket.setTimeout(silenceTimeout);
		this.#events.hello(this, message);
	}
}
