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
		| 'refuse-new';

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
		this.#server?.close();
		this.#server = undefined;
		switch (severance) {
			case 'hang': {
				this.#setEffect({...noEffect, isBlackHoled: true});
				await this.#hang();
				return;
			}

			case 'reset': {
				for (const pipe of this.#pipes) {
					pipe.reset();
				}

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

	/** Carries bytes and accepts connections again. */
	async restore(): Promise<void> {
		await this.#stopHanging();
		this.#setEffect(noEffect);
		if (this.#server === undefined) {
			await this.#listen();
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#stopHanging();
		this.#server?.close();
		for (const pipe of this.#pipes) {
			pipe.destroy();
		}
	}

	async #listen(): Promise<void> {
		const server = createServer({allowHalfOpen: true, pauseOnConnect: true}, socket => {
			const pipe = new Pipe(socket, this.#target, {from: undefined, to: undefined, link: ''}, noEffect);
			this.#pipes.add(pipe);
			void pipe.closed.then(() => this.#pipes.delete(pipe));
		});
		server.listen(this.#port, loopback);
		await once(server, 'listening');
		this.#server = server;
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
