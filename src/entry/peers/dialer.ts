/** Connects to one host, with retries after an exponential delay. */
import {connect, type Socket} from 'node:net';
import {type Address} from '../../core/index.js';

const initialDelayMs = 100;
const maxDelayMs = 2000;
const connectTimeoutMs = 1500;

export class Dialer implements Disposable {
	readonly address: Address;
	readonly #handleConnected: (socket: Socket) => void;
	readonly #isNeeded: () => boolean;
	#delay = initialDelayMs;
	#timer: NodeJS.Timeout | undefined;
	#socket: Socket | undefined;

	/**
	 * Starts to connect immediately. The dialer runs until it is disposed of.
	 *
	 * @param address - Address to connect to.
	 * @param isNeeded - Whether a connection is needed; checked before each attempt.
	 * @param handleConnected - Receives each new connection and owns it.
	 */
	constructor(address: Address, isNeeded: () => boolean, handleConnected: (socket: Socket) => void) {
		this.address = address;
		this.#isNeeded = isNeeded;
		this.#handleConnected = handleConnected;
		this.#connect();
	}

	/** Resets the retry delay, once a connection has proved to work. */
	resetDelay(): void {
		this.#delay = initialDelayMs;
	}

	/** Connects again after a delay, unless a retry is already scheduled. */
	scheduleRetry(): void {
		if (this.#timer !== undefined) {
			return;
		}

		// Half of the delay is random, so that two hosts that lose their link at the same time don't dial at the same time.
		const delay = this.#delay * (0.5 + (Math.random() / 2));
		this.#delay = Math.min(this.#delay * 2, maxDelayMs);
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			this.#connect();
		}, delay);
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
		this.#socket?.destroy();
	}

	#connect(): void {
		if (!this.#isNeeded()) {
			this.scheduleRetry();
			return;
		}

		const socket = connect({host: this.address.host, port: this.address.port, allowHalfOpen: true});
		this.#socket = socket;
		socket.setTimeout(connectTimeoutMs);
		socket.once('timeout', () => {
			socket.destroy();
		});
		socket.once('connect', () => {
			socket.removeAllListeners();
			this.#socket = undefined;
			this.#handleConnected(socket);
		});
		socket.once('error', () => {
			// Handled by the `close` event that follows.
		});
		socket.once('close', () => {
			this.#socket = undefined;
			this.scheduleRetry();
		});
	}
}
