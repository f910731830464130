/** One TCP connection to another host, with a silence timeout and a bounded send buffer. */
import {type Socket} from 'node:net';
import {isFailure, type PeerMessage} from '../../core/index.js';
import {encodeFrame, createMessageReader} from '../../protocol/peers.js';

export type Hello = Extract<PeerMessage, {readonly type: 'hello'}>;

/** Whether this host opened a connection or accepted it. */
export type Side = 'dialled' | 'accepted';

/** Bytes transferred over all connections since the start. */
export type Traffic = {
	sent: number;
	received: number;
};

export type ConnectionEvents = {
	readonly hello: (connection: Connection, hello: Hello) => void;
	readonly message: (connection: Connection, message: PeerMessage) => void;
	readonly closed: (connection: Connection, reason: string) => void;
};

/** Bytes buffered for a slow peer before its connection is closed. */
const maxSendBufferBytes = 4_000_000;

/** Timeout for the first message, and for silence after it. */
const helloTimeoutMs = 2000;
const silenceTimeoutMs = 8000;

/** How long a replaced connection stays open, so that both ends have switched to its replacement. */
const retireDelayMs = 500;

export class Connection implements AsyncDisposable {
	readonly side: Side;
	readonly #socket: Socket;
	readonly #reader = createMessageReader();
	readonly #events: ConnectionEvents;
	readonly #traffic: Traffic;
	#peerHello: Hello | undefined;
	#closeReason = 'closed by the peer';
	#retireTimer: NodeJS.Timeout | undefined;

	constructor(socket: Socket, side: Side, events: ConnectionEvents, traffic: Traffic) {
		this.side = side;
		this.#socket = socket;
		this.#events = events;
		this.#traffic = traffic;
		socket.setNoDelay(true);
		socket.setTimeout(helloTimeoutMs);
		socket.on('data', chunk => {
			this.#handleData(chunk);
		});
		socket.on('timeout', () => {
			this.destroy('silent');
		});
		socket.on('error', error => {
			this.#closeReason = error.message;
		});
		socket.on('end', () => {
			socket.end();
		});
		socket.on('close', () => {
			clearTimeout(this.#retireTimer);
			events.closed(this, this.#closeReason);
		});
	}

	/** The peer's first message; undefined until it arrives. */
	get peerHello(): Hello | undefined {
		return this.#peerHello;
	}

	/**
	 * Queues a message. Closes the connection if the send buffer would overflow.
	 *
	 * @param message - Message to send.
	 * @returns Whether the message was queued.
	 */
	send(message: PeerMessage): boolean {
		if (!this.#socket.writable) {
			return false;
		}

		const frame = encodeFrame(message);
		if (this.#socket.writableLength + frame.length > maxSendBufferBytes) {
			this.destroy('too slow');
			return false;
		}

		this.#socket.write(frame);
		this.#traffic.sent += frame.length;
		return true;
	}

	/** Half-closes the connection after the queued messages. Messages from the peer are still handled until it closes its side. */
	finish(): void {
		this.#socket.end();
	}

	/** Finishes the connection after a delay, because another connection to the same host has replaced it. */
	retire(): void {
		this.#retireTimer ??= setTimeout(() => {
			this.finish();
		}, retireDelayMs);
	}

	/**
	 * Closes the connection immediately.
	 *
	 * @param reason - Reason for the log.
	 */
	destroy(reason: string): void {
		if (!this.#socket.destroyed) {
			this.#closeReason = reason;
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

	#handleData(chunk: Uint8Array): void {
		this.#traffic.received += chunk.length;
		try {
			for (const message of this.#reader.push(chunk)) {
				this.#handleMessage(message);
			}
		} catch (error) {
			this.destroy(isFailure(error) ? `${error.code} ${error.message}` : String(error));
		}
	}

	#handleMessage(message: PeerMessage): void {
		if (this.#socket.destroyed) {
			return;
		}

		if (this.#peerHello !== undefined) {
			this.#events.message(this, message);
			return;
		}

		if (message.type !== 'hello') {
			this.destroy('no hello');
			return;
		}

		this.#peerHello = message;
		this.#socket.setTimeout(silenceTimeoutMs);
		this.#events.hello(this, message);
	}
}
