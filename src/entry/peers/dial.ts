/** Keeps trying to reach one host, with pauses that grow. */
import {connect, type Socket} from 'node:net';
import {type Address} from '../../core/index.js';

const firstPause = 100;
const longestPause = 2000;
const connectTimeout = 1500;

/** Repeated attempts to connect to an address, until stopped. */
export class Dial implements Disposable {
	readonly address: Address;
	readonly #opened: (socket: Socket) => void;
	readonly #wanted: () => boolean;
	#pause = firstPause;
	#timer: NodeJS.Timeout | undefined;
	#socket: Socket | undefined;

	/**
	 * @param address - Where to connect to.
	 * @param wanted - Whether a connection is missing.
	 * @param opened - Takes each connection made.
	 */
	constructor(address: Address, wanted: () => boolean, opened: (socket: Socket) => void) {
		this.address = address;
		this.#wanted = wanted;
		this.#opened = opened;
		this.#open();
	}

	/** The connection works: the next pause is short again. */
	succeed(): void {
		this.#pause = firstPause;
	}

	/** The connection ended: tries again after a pause. */
	retry(): void {
		if (this.#timer !== undefined) {
			return;
		}

		// Half of the pause is random, so that hosts that lost each other at once do not dial at once.
		const pause = this.#pause * (0.5 + (Math.random() / 2));
		this.#pause = Math.min(this.#pause * 2, longestPause);
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			this.#open();
		}, pause);
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
		this.#socket?.destroy();
	}

	#open(): void {
		if (!this.#wanted()) {
			this.retry();
			return;
		}

		const socket = connect({host: this.address.host, port: this.address.port, allowHalfOpen: true});
		this.#socket = socket;
		socket.setTimeout(connectTimeout);
		socket.once('timeout', () => {
			socket.destroy();
		});
		socket.once('connect', () => {
			socket.removeAllListeners();
			this.#socket = undefined;
			this.#opened(socket);
		});
		socket.once('error', () => {
			// The close that follows tries again.
		});
		socket.once('close', () => {
			this.#socket = undefined;
			this.retry();
		});
	}
}
