/** One proxied connection: forwards bytes between two sockets, subject to faults. */
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Address} from '../../src/core/index.js';
import {probeEnd} from '../../src/protocol/connection-end.js';
import {resetSocket} from '../../src/protocol/reset-socket.js';
import {type FaultEffect, type Route} from './faults.js';

export class Pipe {
	readonly route: Route;
	/** Resolves when both sockets are closed. */
	readonly closed: Promise<void>;
	readonly #clientSocket: Socket;
	readonly #targetSocket: Socket;
	#effect: FaultEffect;
	#carriedBytes = 0;

	/**
	 * @param client - Socket of the process that connected.
	 * @param target - Address of the target process.
	 * @param route - Attributes of the connection.
	 * @param effect - Effect of the faults that are active now.
	 */
	constructor(client: Socket, target: Address, route: Route, effect: FaultEffect) {
		this.route = route;
		this.#clientSocket = client;
		this.#targetSocket = connect({
			host: target.host, port: target.port, allowHalfOpen: true, noDelay: true,
		});
		this.#effect = effect;
		client.setNoDelay(true);
		this.#forward(client, this.#targetSocket, async () => true);
		const properEnd = probeEnd(this.#targetSocket);
		this.#forward(this.#targetSocket, client, async () => properEnd);
		this.closed = Promise.all([client, this.#targetSocket].map(async socket => new Promise<void>(resolve => {
			socket.once('close', () => {
				resolve();
			});
		}))).then(() => undefined);
		this.setEffect(effect);
	}

	/** Replaces the effect of faults on the connection; resets it if it is refused or over its byte limit. */
	setEffect(effect: FaultEffect): void {
		this.#effect = effect;
		if (effect.isRefused || this.#carriedBytes > effect.dropAfter) {
			this.reset();
			return;
		}

		for (const socket of [this.#clientSocket, this.#targetSocket]) {
			if (effect.isBlackHoled) {
				socket.pause();
			} else {
				socket.resume();
			}
		}
	}

	/** Resets both sockets. */
	reset(): void {
		for (const socket of [this.#clientSocket, this.#targetSocket]) {
			resetSocket(socket);
		}
	}

	/** Closes both sockets. */
	destroy(): void {
		this.#clientSocket.destroy();
		this.#targetSocket.destroy();
	}

	/** Forwards bytes and the end of one side; `isProperEnd` is whether the side that ended did so properly, and not by a reset. */
	#forward(source: Socket, destination: Socket, isProperEnd: () => Promise<boolean>): void {
		let delivered = Promise.resolve();
		source.on('data', chunk => {
			const due = performance.now() + this.#effect.delay;
			if (this.#effect.delay === 0) {
				this.#deliver(source, destination, chunk);
				return;
			}

			delivered = delivered.then(async () => {
				await sleep(Math.max(due - performance.now(), 0));
				this.#deliver(source, destination, chunk);
			});
		});
		source.on('end', () => {
			void delivered.then(async () => {
				if (await isProperEnd()) {
					destination.end();
				} else {
					resetSocket(destination);
				}
			});
		});
		source.on('error', () => {
			resetSocket(destination);
		});
		source.on('close', hadError => {
			if (hadError) {
				destination.destroy();
			}
		});
	}

	#deliver(source: Socket, destination: Socket, chunk: Uint8Array): void {
		this.#carriedBytes += chunk.length;
		if (this.#carriedBytes > this.#effect.dropAfter) {
			this.reset();
			return;
		}

		if (!destination.writable || destination.write(chunk)) {
			return;
		}

		source.pause();
		destination.once('drain', () => {
			if (!this.#effect.isBlackHoled) {
				source.resume();
			}
		});
	}
}
