/** Follows a response that ends with its connection, so that its end can be told from that of its upstream's process. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type IncomingMessage} from 'node:http';
import {isKnownOpen} from '../../protocol/open-connection.js';
import {type Tunnel} from './connector.js';

/** Time in milliseconds between two looks at a response that isn't being read. */
const lookIntervalMs = 50;

export class ResponseWatch {
	/** When the head was read; monotonic milliseconds. */
	readonly headAt: number;
	readonly #body: IncomingMessage;
	readonly #tunnel: Pick<Tunnel, 'askEnd'> | undefined;
	#openAt: number;
	#isEnded = false;

	/**
	 * @param body - Body of the response.
	 * @param tunnel - Tunnel that it comes through, if any.
	 * @param times - When the request was sent, and when the head was read; monotonic milliseconds.
	 */
	constructor(body: IncomingMessage, tunnel: Pick<Tunnel, 'askEnd'> | undefined, times: {readonly sent: number; readonly headAt: number}) {
		this.#body = body;
		this.#tunnel = tunnel;
		this.#openAt = times.sent;
		this.headAt = times.headAt;
	}

	/** Last time at which the connection is known not to have ended; monotonic milliseconds. */
	get openAt(): number {
		return this.#openAt;
	}

	/** To be called at the end of the response. */
	end(): void {
		this.#isEnded = true;
	}

	/**
	 * Finds out whether the response goes on after a connection was established.
	 *
	 * @param establishedAt - When that was; monotonic milliseconds.
	 */
	async noteEstablished(establishedAt: number): Promise<void> {
		while (!this.#isEnded && !await this.#isOpen()) {
			await sleep(lookIntervalMs);
		}

		if (!this.#isEnded) {
			this.#openAt = Math.max(this.#openAt, establishedAt);
		}
	}

	/** The end of a connection that another host carries is read there first. */
	async #isOpen(): Promise<boolean> {
		const isOpen = await isKnownOpen(this.#body, () => this.#body.complete);
		return isOpen && (this.#tunnel === undefined || await this.#tunnel.askEnd() === 'open');
	}
}
