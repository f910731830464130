/** A connection to an upstream that outlives a response: as long as it is answered, the process that has accepted it runs. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Socket} from 'node:net';
import {type Testimony, type WitnessState} from '../../core/gateway/health/connection-ends.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {ConnectionAgent} from './connection-agent.js';
import {findTunnel} from './connector.js';
import {type LinkProbe} from './link-probe.js';

/** Time in milliseconds for an answer. */
const answerMs = 300;

/** Time in milliseconds for the end of a connection of a process that is killed, after that of its others. */
const endMs = 20;

export type WitnessOptions = {
	readonly upstream: GatewayUpstream;
	/** Established connection to it. */
	readonly socket: Socket;
	/** When it was established; monotonic milliseconds. */
	readonly establishedAt: number;
	readonly probe: Pick<LinkProbe, 'check'>;
	/** Returns whether the upstream may get health checks at present. */
	readonly mayCheck: (upstream: GatewayUpstream) => boolean;
	/** Called as its connection ends. */
	readonly onClose: () => void;
};

export class Witness implements Disposable {
	/** When its connection was established; monotonic milliseconds. */
	readonly establishedAt: number;
	readonly #options: WitnessOptions;
	readonly #agent: ConnectionAgent;
	#isOpen = true;
	#running: Promise<WitnessState> | undefined;
	/** Begins once the running check has ended: what asked for it may be later than that one. */
	#next: Promise<WitnessState> | undefined;

	/**
	 * @param options - Connection, and how to send health checks over it.
	 */
	constructor(options: WitnessOptions) {
		const {socket, establishedAt, onClose} = options;
		this.establishedAt = establishedAt;
		this.#options = options;
		this.#agent = new ConnectionAgent(socket, true);
		// The `close` event that follows ends the witness.
		socket.on('error', () => undefined);
		socket.once('end', () => {
			this.#isOpen = false;
		});
		socket.once('close', () => {
			this.#isOpen = false;
			onClose();
		});
		// An end is read only from a connection that is being read.
		socket.resume();
	}

	/** Whether its connection hasn't ended. */
	get isOpen(): boolean {
		return this.#isOpen;
	}

	/**
	 * @returns Whether the process that accepted the connection runs now; `unknown` if the connection may have ended for another reason.
	 */
	async testify(): Promise<Testimony> {
		return {establishedAt: this.establishedAt, state: await this.#findState()};
	}

	[Symbol.dispose](): void {
		this.#agent.destroy();
		this.#options.socket.destroy();
	}

	async #findState(): Promise<WitnessState> {
		if (this.#running === undefined) {
			return this.#start();
		}

		this.#next ??= this.#startAfter(this.#running);
		return this.#next;
	}

	async #startAfter(running: Promise<WitnessState>): Promise<WitnessState> {
		await running;
		this.#next = undefined;
		return this.#start();
	}

	async #start(): Promise<WitnessState> {
		this.#running = this.#check();
		try {
			return await this.#running;
		} finally {
			this.#running = undefined;
		}
	}

	async #check(): Promise<WitnessState> {
		const {upstream, probe, mayCheck} = this.#options;
		if (!this.isOpen) {
			return 'unknown';
		}

		if (!mayCheck(upstream)) {
			await sleep(endMs);
			return this.isOpen ? 'running' : 'unknown';
		}

		const result = await Promise.race([probe.check(upstream, this.#agent), sleep(answerMs, undefined)]);
		if (result?.type === 'ignored' && result.reason === 'different id' && result.value !== undefined) {
			return 'ended';
		}

		if (result === undefined) {
			return this.isOpen ? this.#judgeSilence() : 'unknown';
		}

		return result.type === 'ignored' && result.reason === 'no response' ? 'unknown' : 'running';
	}

	/** An upstream that is silent still holds its connections; a host that carries one may be silent as well. */
	async #judgeSilence(): Promise<WitnessState> {
		const end = await findTunnel(this.#options.socket)?.askEnd();
		return this.isOpen && (end === undefined || end === 'open' || end === 'unstated') ? 'silent' : 'unknown';
	}
}
