/** A TCP link between two processes that can be severed in each way in which networks lose connections. */
import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
// eslint-disable-next-line @typescript-eslint/no-restricted-imports -- A listener that never accepts blocks its thread.
import {Worker} from 'node:worker_threads';
import {assertNever, type Address} from '../../src/core/index.js';
import {type FaultEffect} from './faults.js';
import {Pipe} from './pipe.js';

/** What becomes of connections across a severed link. */
export type Severance
	/** Open and new ones hang. */
	= | 'hang'
	/** Open ones are reset, and new ones refused. */
		| 'reset'
	/** Open ones live on, and new ones are refused. */
		| 'refuse-new'
	/** Open ones hang, and new ones are accepted, without any byte passing. */
		| 'accept'
	/** Open ones are reset, and new ones as soon as they are accepted. */
		| 'accept-reset'
	/** Open ones are reset, and new ones with the first bytes that arrive over them. */
		| 'reset-after-head';

/** What becomes of a connection that is accepted. */
type Acceptance = 'carry' | 'swallow' | 'reset' | 'reset-after-head';

const loopback = '127.0.0.1';
const noEffect: FaultEffect = {
	delay: 0, isBlackHoled: false, isRefused: false, dropAfter: Number.POSITIVE_INFINITY,
};

/** Listens without ever accepting: once its queue is full, the kernel drops the packets that open connections. */
const hangingListener = `
const {workerData, parentPort} = require('node:worker_threads');
require('node:net').createServer().listen({...workerData, backlog: 1}, () => {
	parentPort.postMessage('listening');
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
});`;

/** Connections that fill the queue of the hanging listener. */
const queueFillers = 3;

export class SeverableLink implements AsyncDisposable {
	/**
	 * Opens a link.
	 *
	 * @param target - Address that it leads to.
	 * @param port - Port to listen on. It is free while the link is severed, so that no other process may choose it.
	 * @returns The link.
	 */
	static async open(target: Address, port: number): Promise<SeverableLink> {
		const link = new SeverableLink(target, port);
		await link.#listen();
		return link;
	}

	readonly #target: Address;
	readonly #port: number;
	readonly #pipes = new Set<Pipe>();
	readonly #fillers: Socket[] = [];
	/** Connections that are accepted and lead nowhere. */
	readonly #deadEnds = new Set<Socket>();
	#acceptance: Acceptance = 'carry';
	#server: Server | undefined;
	#hanging: Worker | undefined;

	private constructor(target: Address, port: number) {
		this.#target = target;
		this.#port = port;
	}

	/** Address at which it listens. */
	get address(): Address {
		return {host: loopback, port: this.#port};
	}

	/** Severs the link until `restore`. */
	async sever(severance: Severance): Promise<void> {
		switch (severance) {
			case 'accept': {
				this.#acceptance = 'swallow';
				this.#setEffect({...noEffect, isBlackHoled: true});
				return;
			}

			case 'accept-reset': {
				this.#acceptance = 'reset';
				this.#resetPipes();
				return;
			}

			case 'reset-after-head': {
				this.#acceptance = 'reset-after-head';
				this.#resetPipes();
				return;
			}

			case 'hang':
			case 'reset':
			case 'refuse-new': {
				await this.#close(severance);
				return;
			}

			default: {
				assertNever(severance);
			}
		}
	}

	/** Carries bytes and accepts connections again. */
	async restore(): Promise<void> {
		await this.#stopHanging();
		this.#acceptance = 'carry';
		this.#closeDeadEnds();
		this.#setEffect(noEffect);
		if (this.#server === undefined) {
			await this.#listen();
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#stopHanging();
		this.#closeDeadEnds();
		this.#server?.close();
		for (const pipe of this.#pipes) {
			pipe.destroy();
		}
	}

	/** Accepts no more connections. */
	async #close(severance: 'hang' | 'refuse-new' | 'reset'): Promise<void> {
		this.#server?.close();
		this.#server = undefined;
		switch (severance) {
			case 'hang': {
				this.#setEffect({...noEffect, isBlackHoled: true});
				await this.#hang();
				return;
			}

			case 'reset': {
				this.#resetPipes();
				return;
			}

			case 'refuse-new': {
				return;
			}

			default: {
				assertNever(severance);
			}
		}
	}

	async #listen(): Promise<void> {
		const server = createServer({allowHalfOpen: true, pauseOnConnect: true}, socket => {
			this.#accept(socket);
		});
		server.listen(this.#port, loopback);
		await once(server, 'listening');
		this.#server = server;
	}

	#accept(socket: Socket): void {
		switch (this.#acceptance) {
			case 'carry': {
				const pipe = new Pipe(socket, this.#target, {from: undefined, to: undefined, link: ''}, noEffect);
				this.#pipes.add(pipe);
				void pipe.closed.then(() => this.#pipes.delete(pipe));
				return;
			}

			case 'swallow': {
				this.#keepDeadEnd(socket);
				socket.resume();
				return;
			}

			case 'reset': {
				socket.resetAndDestroy();
				return;
			}

			case 'reset-after-head': {
				this.#keepDeadEnd(socket);
				socket.once('data', () => {
					socket.resetAndDestroy();
				});
				socket.resume();
				return;
			}

			default: {
				assertNever(this.#acceptance);
			}
		}
	}

	#keepDeadEnd(socket: Socket): void {
		this.#deadEnds.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.#deadEnds.delete(socket);
		});
	}

	#closeDeadEnds(): void {
		for (const socket of this.#deadEnds) {
			socket.destroy();
		}
	}

	#resetPipes(): void {
		for (const pipe of this.#pipes) {
			pipe.reset();
		}
	}

	#setEffect(effect: FaultEffect): void {
		for (const pipe of this.#pipes) {
			pipe.setEffect(effect);
		}
	}

	async #hang(): Promise<void> {
		this.#hanging = new Worker(hangingListener, {eval: true, workerData: {host: loopback, port: this.#port}});
		await once(this.#hanging, 'message');
		for (let count = 0; count < queueFillers; count++) {
			this.#fillers.push(connect(this.#port, loopback).on('error', () => undefined));
		}
	}

	async #stopHanging(): Promise<void> {
		for (const filler of this.#fillers.splice(0)) {
			filler.destroy();
		}

		await this.#hanging?.terminate();
		this.#hanging = undefined;
	}
}
