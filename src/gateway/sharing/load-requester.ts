/** Requests pending load updates from the relay just before a placement, so that none need to arrive between placements. */
import {type LoadResponse} from '../peers/messages.js';

/** How long a placement waits for the relay: several times the round trip within a failure domain. */
const responseTimeoutMs = 10;

type PendingRequest = {
	readonly id: number;
	readonly relay: string;
	/** Resolves with the response or after the timeout. */
	readonly over: Promise<void>;
	readonly complete: () => void;
};

export class LoadRequester {
	readonly #send: (relay: string, ask: number) => void;
	#lastId = 0;
	#pending: PendingRequest | undefined;
	/** Relay that did not respond within the timeout, until it responds. */
	#unresponsiveRelay: string | undefined;

	/**
	 * @param send - Sends a request with the given id to a relay.
	 */
	constructor(send: (relay: string, ask: number) => void) {
		this.#send = send;
	}

	/**
	 * Waits until the relay has sent all updates that it had at the time of the request, or for the timeout. Concurrent callers share one
	 * request, and none waits for a relay that did not respond to the previous one.
	 *
	 * @param relay - Relay of this failure domain.
	 */
	async requestUpdates(relay: string): Promise<void> {
		const pending = this.#pending?.relay === relay ? this.#pending : this.#sendRequest(relay);
		if (this.#unresponsiveRelay !== relay) {
			await pending.over;
		}
	}

	/**
	 * @param from - Relay that responds.
	 * @param response - Response.
	 */
	handleResponse(from: string, {ask}: LoadResponse): void {
		if (this.#unresponsiveRelay === from) {
			this.#unresponsiveRelay = undefined;
		}

		if (this.#pending?.id === ask) {
			this.#pending.complete();
		}
	}

	#sendRequest(relay: string): PendingRequest {
		this.#lastId++;
		const id = this.#lastId;
		const pending = {id, relay, ...this.#createWait(id, relay)};
		this.#pending = pending;
		this.#send(relay, id);
		return pending;
	}

	#createWait(id: number, relay: string): Pick<PendingRequest, 'complete' | 'over'> {
		const controller = new AbortController();
		const {signal} = controller;
		const completed = new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				this.#unresponsiveRelay = relay;
				controller.abort();
			}, responseTimeoutMs);
			signal.addEventListener('abort', () => {
				clearTimeout(timer);
				this.#clearPending(id);
				resolve();
			});
		});
		return {
			over: completed,
			complete() {
				controller.abort();
			},
		};
	}

	#clearPending(id: number): void {
		if (this.#pending?.id === id) {
			this.#pending = undefined;
		}
	}
}
