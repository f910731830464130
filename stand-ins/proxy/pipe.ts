/** One proxied connection: two sockets, and what faults do to the bytes between them. */
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Address} from '../../src/core/index.js';
import {type Condition, type Route} from './faults.js';

export class Pipe {
	readonly route: Route;
	/** Resolves when both sockets are closed. */
	readonly closed: Promise<void>;
	readonly #near: Socket;
	readonly #far: Socket;
	#condition: Condition;
	#carried = 0;

	/**
	 * @param near - Socket of the process that connected.
	 * @param target - Where it wants to go.
	 * @param route - The connection's way.
	 * @param condition - What faults do to it now.
	 */
	constructor(near: Socket, target: Address, route: Route, condition: Condition) {
		this.route = route;
		this.#near = near;
		this.#far = connect({
			host: target.host, port: target.port, allowHalfOpen: true, noDelay: true,
		});
		this.#condition = condition;
		near.setNoDelay(true);
		this.#relay(near, this.#far);
		this.#relay(this.#far, near);
		this.closed = Promise.all([near, this.#far].map(async socket => new Promise<void>(resolve => {
			socket.once('close', () => {
				resolve();
			});
		}))).then(() => undefined);
		this.change(condition);
	}

	/**
	 * Applies other faults from now on.
	 *
	 * @param condition - What they do to the connection.
	 */
	change(condition: Condition): void {
		this.#condition = condition;
		if (condition.isRefused || this.#carried > condition.dropAfter) {
			this.reset();
			return;
		}

		for (const socket of [this.#near, this.#far]) {
			if (condition.isBlack) {
				socket.pause();
			} else {
				socket.resume();
			}
		}
	}

	/** Resets both sockets. */
	reset(): void {
		for (const socket of [this.#near, this.#far]) {
			socket.resetAndDestroy();
		}
	}

	/** Closes both sockets. */
	destroy(): void {
		this.#near.destroy();
		this.#far.destroy();
	}

	#relay(source: Socket, destination: Socket): void {
		let delivered = Promise.resolve();
		source.on('data', chunk => {
			const due = performance.now() + this.#condition.delay;
			if (this.#condition.delay === 0) {
				this.#deliver(source, destination, chunk);
				return;
			}

			delivered = delivered.then(async () => {
				await sleep(Math.max(due - performance.now(), 0));
				this.#deliver(source, destination, chunk);
			});
		});
		source.on('end', () => {
			void delivered.then(() => destination.end());
		});
		source.on('error', () => {
			destination.resetAndDestroy();
		});
		source.on('close', hadError => {
			if (hadError) {
				destination.destroy();
			}
		});
	}

	#deliver(source: Socket, destination: Socket, chunk: Uint8Array): void {
		this.#carried += chunk.length;
		if (this.#carried > this.#condition.dropAfter) {
			this.reset();
			return;
		}

		if (!destination.writable || destination.write(chunk)) {
			return;
		}

		source.pause();
		destination.once('drain', () => {
			if (!this.#condition.isBlack) {
				source.resume();
			}
		});
	}
}
