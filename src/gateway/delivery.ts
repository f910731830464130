/** The answer to one caller: what attempts bring is passed on, the rest is said in the gateway's own words. */
import {type ServerResponse} from 'node:http';
import {assertNever} from '../core/index.js';
import {type AttemptEnding, type CancelReason} from '../core/gateway/retries.js';
import {type Route} from '../core/gateway/types.js';
import {answer, promises, type AnswerName} from './answers.js';
import {type Reply} from './attempt.js';
import {
	isStream, readBody, relayEvents, relayLong, writeHead, type Body,
} from './relay.js';
import {type Trace} from './trace.js';

/** Why an exchange must not go on. */
export type Stop = Extract<CancelReason, 'caller left' | 'time over'>;

/** Told of what an attempt brings. */
export type Listener = {
	/** The first event of a stream, or a whole body. */
	readonly began: () => void;
	/** Events of a stream. */
	readonly heard: () => void;
};

type Whole = Extract<Body, {readonly type: 'whole'}>;

/** Seconds after which a refused caller may come again: the mean of a usual answer, spread so that callers don't return together. */
export const usualRetryAfter = 0.4;
const retrySpread = 0.6;

export class Delivery {
	readonly #outgoing: ServerResponse;
	readonly #trace: Trace;
	readonly #random: () => number;
	#mayHaveRun = false;
	#lastEvent: string | undefined;
	#lastReply: {readonly reply: Reply; readonly body: Whole} | undefined;

	/**
	 * @param outgoing - Answer to the caller.
	 * @param trace - Told how it ended.
	 * @param random - Uniform from 0 to 1.
	 */
	constructor(outgoing: ServerResponse, trace: Trace, random: () => number) {
		this.#outgoing = outgoing;
		this.#trace = trace;
		this.#random = random;
	}

	/** Whether the caller has gone. */
	get isClosed(): boolean {
		return this.#outgoing.destroyed;
	}

	/** The last event that the caller has of a stream. */
	get lastEvent(): string | undefined {
		return this.#lastEvent;
	}

	/**
	 * @param id - The last event that the caller had before this request.
	 */
	resumeAfter(id: string | undefined): void {
		this.#lastEvent = id;
	}

	/** An attempt may have run the request: no answer may promise that it has not. */
	noteMayHaveRun(): void {
		this.#mayHaveRun = true;
	}

	/**
	 * Passes an upstream's answer on.
	 *
	 * @param reply - Its head.
	 * @param route - Route of the request.
	 * @param listener - Told of what comes.
	 * @returns How the attempt ended.
	 */
	async take(reply: Reply, route: Route, listener: Listener): Promise<AttemptEnding> {
		if (isStream(reply)) {
			return this.#takeStream(reply, listener);
		}

		if (this.#outgoing.headersSent) {
			reply.body.resume();
			return {type: 'failed', status: reply.status};
		}

		return this.#takeBody(reply, route, listener);
	}

	/**
	 * Ends an exchange that got no whole answer.
	 *
	 * @param name - What the caller is told if nothing better is known.
	 * @param stop - Why the exchange must not go on, if so.
	 */
	conclude(name: AnswerName, stop: Stop | undefined): void {
		const outgoing = this.#outgoing;
		if (stop === 'caller left' || outgoing.destroyed) {
			this.#trace.finish('caller left');
			return;
		}

		if (outgoing.headersSent) {
			if (!outgoing.writableEnded) {
				outgoing.destroy();
				this.#trace.finish('broken off');
			}

			return;
		}

		if (this.#lastReply !== undefined && stop === undefined) {
			this.#pass(this.#lastReply.reply, this.#lastReply.body);
			this.#trace.finish('failed');
			return;
		}

		this.refuse(this.#honest(name), usualRetryAfter + (this.#random() * retrySpread));
	}

	/**
	 * Answers in the gateway's own words.
	 *
	 * @param name - What the caller is told.
	 * @param retryAfter - Seconds after which it may come again.
	 */
	refuse(name: AnswerName, retryAfter?: number): void {
		if (!this.#outgoing.headersSent && !this.#outgoing.destroyed) {
			answer(this.#outgoing, name, retryAfter);
		}

		this.#trace.finish(name);
	}

	async #takeStream(reply: Reply, listener: Listener): Promise<AttemptEnding> {
		let isFirst = true;
		const ending = await relayEvents(this.#outgoing, reply, {
			onEvents: lastId => {
				listener.heard();
				this.#trace.noteEvents();
				this.#lastEvent = lastId ?? this.#lastEvent;
				if (isFirst) {
					isFirst = false;
					listener.began();
					this.#begin(reply);
				}
			},
		});
		if (ending.type === 'answered') {
			this.#begin(reply);
			this.#outgoing.end();
		}

		return ending;
	}

	async #takeBody(reply: Reply, route: Route, listener: Listener): Promise<AttemptEnding> {
		const body = await readBody(reply);
		listener.began();
		switch (body.type) {
			case 'broken': {
				return {type: 'unknown', reason: body.reason};
			}

			case 'long': {
				writeHead(this.#outgoing, reply);
				if (await relayLong(this.#outgoing, body) && await reply.isWhole()) {
					this.#outgoing.end();
					return {type: 'answered', status: reply.status};
				}

				return {type: 'unknown', reason: 'the answer broke off'};
			}

			case 'whole': {
				return this.#takeWhole(reply, body, route);
			}

			default: {
				return assertNever(body);
			}
		}
	}

	#takeWhole(reply: Reply, body: Whole, route: Route): AttemptEnding {
		const {status} = reply;
		// Callers take such a status for a promise that nothing ran, which only an upstream that says so can give.
		if (promises.has(status)) {
			return {type: 'failed', status};
		}

		if (status >= 500 && route.kind === 'idempotent') {
			this.#lastReply = {reply, body};
			return {type: 'failed', status};
		}

		this.#pass(reply, body);
		return {type: 'answered', status};
	}

	/** Sends the head of a stream, unless an attempt before has. */
	#begin(reply: Reply): void {
		if (!this.#outgoing.headersSent) {
			writeHead(this.#outgoing, reply);
		}
	}

	#pass(reply: Reply, {bytes}: Whole): void {
		writeHead(this.#outgoing, reply, bytes.length);
		this.#outgoing.end(bytes);
	}

	/** An answer that promises "not run" is given only where that is known. */
	#honest(name: AnswerName): AnswerName {
		if (this.#mayHaveRun) {
			return name === 'deadlinePassed' ? name : 'outcomeUnknown';
		}

		return name === 'deadlinePassed' ? 'deadlineBeforeStart' : name;
	}
}
