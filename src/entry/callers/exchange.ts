/** Tracks the requests of this host's callers, and keeps ended answers that a caller may ask for again. */
import {type IncomingMessage} from 'node:http';
import {type Method} from 'got';
import {type Request} from '../../core/index.js';
import {Answer, notKeptOutcome, type AnswerEnd} from './answer.js';
import {endAnswer, type Receiver} from './receivers.js';

/** Content of a request that is sent to upstreams. */
export type Payload = {
	readonly method: Method;
	/** Path with query for the upstream. */
	readonly path: string;
	/** Path with query that the caller requested. */
	readonly callerPath: string;
	readonly headers: IncomingMessage['headers'];
	readonly body: Uint8Array;
	/** JSON body of a model request, with `stream` set; empty for a plain service. */
	readonly engineBody: string;
	/** Idempotency key for upstreams. */
	readonly key?: string;
	/** Number of prompt tokens stated by the caller, if the settings accept it. */
	readonly statedPromptTokens?: number;
};

/** A request at this host with its payload and answer. */
export type Exchange = {
	readonly request: Request;
	readonly payload: Payload;
	readonly answer: Answer;
};

/** Limit for all ended answers that are kept for repeated requests. */
const maxKeptBytes = 32_000_000;

export class Exchanges {
	readonly #exchanges = new Map<string, Exchange>();
	readonly #ticketCallbacks = new Map<string, (ticket: string, expires: number) => void>();
	/** Size in bytes of each ended answer that is kept, oldest first. */
	readonly #keptSizes = new Map<string, number>();
	#totalKeptSize = 0;
	/** Request whose answer each caller receives: its own, or the original that it repeats. */
	readonly #answeringRequests = new WeakMap<Receiver, string>();

	get size(): number {
		return this.#exchanges.size;
	}

	/** Registers a request and creates its answer. */
	open(request: Request, payload: Payload, receiver: Receiver): void {
		const answer = new Answer(request.proof.type !== 'idempotent');
		answer.attach(receiver);
		this.#answeringRequests.set(receiver, request.id);
		this.#exchanges.set(request.id, {
			request,
			payload,
			answer,
		});
	}

	/**
	 * @param request - Id of the request.
	 */
	get(request: string): Exchange | undefined {
		return this.#exchanges.get(request);
	}

	/**
	 * Ends the answer of a request. An answer that a caller may ask for again is kept until `forget` is called.
	 *
	 * @param request - Id of the request.
	 * @param end - Outcome, with the ticket if one was issued.
	 * @param canBeRepeated - Returns whether a caller may repeat the request to get its answer again.
	 */
	end(request: string, end: AnswerEnd, canBeRepeated: (request: Request) => boolean): void {
		const exchange = this.#exchanges.get(request);
		if (exchange === undefined) {
			return;
		}

		exchange.answer.end(end);
		if (exchange.answer.isKept && canBeRepeated(exchange.request)) {
			this.#keep(exchange);
		} else {
			this.#exchanges.delete(request);
		}
	}

	/**
	 * Attaches the callers of a repeated request to the answer of the original.
	 *
	 * @param request - Id of the repeated request.
	 * @param original - Id of the original request.
	 */
	replay(request: string, original: string): void {
		const originalAnswer = this.#exchanges.get(original)?.answer;
		const receivers = this.#exchanges.get(request)?.answer.detachAll() ?? [];
		this.#exchanges.delete(request);
		for (const receiver of receivers) {
			if (originalAnswer === undefined) {
				endAnswer(receiver, notKeptOutcome);
			} else {
				this.#answeringRequests.set(receiver, original);
				originalAnswer.attach(receiver);
			}
		}
	}

	/**
	 * Passes a ticket to the caller that requested it.
	 *
	 * @param request - Id of the ticket request.
	 * @param ticket - Signed ticket.
	 * @param expires - Expiry in milliseconds since 1970.
	 */
	issueTicket(request: string, ticket: string, expires: number): void {
		const callback = this.#ticketCallbacks.get(request);
		this.#ticketCallbacks.delete(request);
		callback?.(ticket, expires);
	}

	/**
	 * @param request - Id of the ticket request.
	 * @param callback - Called with the signed ticket and its expiry in milliseconds since 1970.
	 */
	awaitTicket(request: string, callback: (ticket: string, expires: number) => void): void {
		this.#ticketCallbacks.set(request, callback);
	}

	/**
	 * Removes a request and its kept answer.
	 *
	 * @param request - Id of the request.
	 */
	forget(request: string): void {
		const size = this.#keptSizes.get(request);
		if (size !== undefined) {
			this.#keptSizes.delete(request);
			this.#totalKeptSize -= size;
		}

		this.#exchanges.delete(request);
	}

	/**
	 * Removes a caller that disconnected.
	 *
	 * @returns Id of its request, if that has not ended and no caller is left.
	 */
	detach(receiver: Receiver): string | undefined {
		const request = this.#answeringRequests.get(receiver);
		const answer = request === undefined ? undefined : this.#exchanges.get(request)?.answer;
		if (answer === undefined || answer.hasEnded) {
			return undefined;
		}

		answer.detach(receiver);
		return answer.receiverCount === 0 ? request : undefined;
	}

	/** Keeps an ended answer without its payload, and discards the content of the oldest answers beyond the limit. */
	#keep(exchange: Exchange): void {
		const {request, answer} = exchange;
		this.#exchanges.set(request.id, {...exchange, payload: withoutContent(exchange.payload)});
		this.#keptSizes.set(request.id, answer.size);
		this.#totalKeptSize += answer.size;
		for (const [id, size] of this.#keptSizes) {
			if (this.#totalKeptSize <= maxKeptBytes) {
				return;
			}

			this.#exchanges.get(id)?.answer.discardContent();
			this.#keptSizes.delete(id);
			this.#totalKeptSize -= size;
		}
	}
}

function withoutContent(payload: Payload): Payload {
	return {
		...payload,
		headers: {},
		body: new Uint8Array(),
		engineBody: '',
	};
}
