/** Requests that callers are waiting for at this host. */
import {type IncomingMessage} from 'node:http';
import {type Method} from 'got';
import {type Request} from '../../core/index.js';
import {Answer, notKept, type End} from './answer.js';
import {endAnswer, type Receiver} from './receivers.js';

/** What is sent to upstreams for a request. */
export type Payload = {
	readonly method: Method;
	/** Path with query, as an upstream is asked for it. */
	readonly path: string;
	/** Path with query, as this host was asked for it. */
	readonly callerPath: string;
	readonly headers: IncomingMessage['headers'];
	readonly body: Uint8Array;
	/** JSON body of a model request, with `stream` set; empty for a plain service. */
	readonly engineBody: string;
	readonly key?: string;
	/** Number of prompt tokens the caller stated, where that is believed. */
	readonly statedPromptTokens?: number;
};

/** A request at this host with its caller's payload and the answer it gets. */
export type Exchange = {
	readonly request: Request;
	readonly payload: Payload;
	readonly answer: Answer;
};

/** Bytes of answers kept for repeats after their end. */
const keptLimit = 32_000_000;

export class Exchanges {
	readonly #exchanges = new Map<string, Exchange>();
	readonly #waiting = new Map<string, (ticket: string, expires: number) => void>();
	/** Bytes of each answer that is kept after its end, the oldest first, and of all. */
	readonly #kept = new Map<string, number>();
	#keptSize = 0;
	/** Request whose answer a caller gets: its own, or the one it repeats. */
	readonly #places = new WeakMap<Receiver, string>();

	get size(): number {
		return this.#exchanges.size;
	}

	/**
	 * @param request - Request.
	 * @param payload - What is sent to upstreams for it.
	 * @param receiver - Its caller.
	 */
	open(request: Request, payload: Payload, receiver: Receiver): void {
		const answer = new Answer(request.proof.type !== 'idempotent');
		answer.attach(receiver);
		this.#places.set(receiver, request.id);
		this.#exchanges.set(request.id, {
			request,
			payload,
			answer,
		});
	}

	/**
	 * @param request - Request.
	 * @returns Its exchange, if it is still known.
	 */
	get(request: string): Exchange | undefined {
		return this.#exchanges.get(request);
	}

	/**
	 * Ends a request's answer; one that may be asked for again stays until it is forgotten.
	 *
	 * @param request - Request.
	 * @param end - Its end.
	 * @param isWanted - Tells whether a request's answer may be asked for again.
	 */
	end(request: string, end: End, isWanted: (request: Request) => boolean): void {
		const exchange = this.#exchanges.get(request);
		if (exchange === undefined) {
			return;
		}

		exchange.answer.end(end);
		if (exchange.answer.isKept && isWanted(exchange.request)) {
			this.#keep(exchange);
		} else {
			this.#exchanges.delete(request);
		}
	}

	/**
	 * Gives the callers of one request the answer of another.
	 *
	 * @param request - Request that repeats another.
	 * @param original - The other.
	 */
	replay(request: string, original: string): void {
		const source = this.#exchanges.get(original)?.answer;
		const receivers = this.#exchanges.get(request)?.answer.release() ?? [];
		this.#exchanges.delete(request);
		for (const receiver of receivers) {
			if (source === undefined) {
				endAnswer(receiver, notKept);
			} else {
				this.#places.set(receiver, original);
				source.attach(receiver);
			}
		}
	}

	/**
	 * Answers a caller that asked for a ticket.
	 *
	 * @param request - Its request.
	 * @param ticket - Signed ticket.
	 * @param expires - Milliseconds since 1970.
	 */
	issue(request: string, ticket: string, expires: number): void {
		const waiting = this.#waiting.get(request);
		this.#waiting.delete(request);
		waiting?.(ticket, expires);
	}

	/**
	 * @param request - Request of a caller that asks for a ticket.
	 * @param answer - Called with the ticket and its expiry.
	 */
	expectTicket(request: string, answer: (ticket: string, expires: number) => void): void {
		this.#waiting.set(request, answer);
	}

	/**
	 * @param request - Request whose answer is wanted no longer.
	 */
	forget(request: string): void {
		const size = this.#kept.get(request);
		if (size !== undefined) {
			this.#kept.delete(request);
			this.#keptSize -= size;
		}

		this.#exchanges.delete(request);
	}

	/**
	 * Takes a caller that hung up off its request.
	 *
	 * @param receiver - Caller.
	 * @returns The request, if nobody waits for it now.
	 */
	leave(receiver: Receiver): string | undefined {
		const place = this.#places.get(receiver);
		const answer = place === undefined ? undefined : this.#exchanges.get(place)?.answer;
		if (answer === undefined || answer.hasEnded) {
			return undefined;
		}

		answer.detach(receiver);
		return answer.receivers === 0 ? place : undefined;
	}

	/** What was sent upstream is wanted no longer, and the oldest answers make room for new ones. */
	#keep(exchange: Exchange): void {
		const {request, answer} = exchange;
		this.#exchanges.set(request.id, {...exchange, payload: emptied(exchange.payload)});
		this.#kept.set(request.id, answer.size);
		this.#keptSize += answer.size;
		for (const [id, size] of this.#kept) {
			if (this.#keptSize <= keptLimit) {
				return;
			}

			this.#exchanges.get(id)?.answer.trim();
			this.#kept.delete(id);
			this.#keptSize -= size;
		}
	}
}

function emptied(payload: Payload): Payload {
	return {
		...payload,
		headers: {},
		body: new Uint8Array(),
		engineBody: '',
	};
}
