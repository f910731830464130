/** The response to one caller: forwards the upstreams' responses, or sends one of the gateway's own answers. */
import {type ServerResponse} from 'node:http';
import {assertNever} from '../../core/index.js';
import {type AttemptEnding, type CancelReason} from '../../core/gateway/limits/retries.js';
import {breakOff} from '../../protocol/break-off.js';
import {discardBody} from '../../protocol/discard.js';
import {type Reply} from '../upstreams/attempt.js';
import {type RequestTrace} from '../requests/trace.js';
import {sendAnswer, type AnswerName} from './answers.js';
import {KeptFailure} from './kept-failure.js';
import {
	brokenOffReason, readBody, forwardEvents, forwardLongBody, outrunReason, writeHead, type LongBody, type WholeBody,
} from './response-forwarding.js';
import {ResponseBuffer, type ReadingObserver} from './response-buffer.js';
import {type ResponseBuffers} from './response-buffers.js';

/** Why the gateway stops working on a request. */
export type StopReason = Extract<CancelReason, 'caller left' | 'time over'>;

/** Callbacks for the progress of an upstream's response. */
export type ReplyListener = ReadingObserver & {
	/** Bytes of a stream without the end of an event after which it is given up. */
	readonly maxEventBytes: number;
	/** Bytes of a body that is no stream, after which it is given up. */
	readonly maxBodyBytes: number;
	/** Resolves once events of a stream may be passed on; undefined if they may be now. */
	readonly yielding: Promise<void> | undefined;
	/** Called before anything of the response is passed on; returns false if another attempt is kept, so that nothing may be. */
	readonly leads: () => boolean;
	/** Called at the first event of a stream, or when the body has been read. */
	readonly began: () => void;
	/** Called when events of a stream arrive. */
	readonly receivedEvents: () => void;
};

/** Retry-After of refused callers: the mean duration of a usual answer, spread so that callers don't return at the same time. */
export const baseRetryAfterSeconds = 0.4;
const retryAfterSpreadSeconds = 0.6;

export class CallerResponse {
	readonly #outgoing: ServerResponse;
	readonly #trace: RequestTrace;
	readonly #random: () => number;
	readonly #buffer: ResponseBuffer;
	#mayHaveRun = false;
	#lastEventId: string | undefined;
	/** Whether a stream that has begun, and hasn't arrived as a whole, can be continued by another attempt. */
	#isContinuable = false;
	/** Passed on if no other attempt answers. */
	#failure: KeptFailure | undefined;
	#conclusion: Promise<void> | undefined;

	/**
	 * @param outgoing - Response to the caller.
	 * @param trace - Records the events and the outcome.
	 * @param random - Uniform from 0 to 1.
	 * @param buffers - Unsent bytes of all responses of this host.
	 */
	constructor(outgoing: ServerResponse, trace: RequestTrace, random: () => number, buffers: ResponseBuffers) {
		this.#outgoing = outgoing;
		this.#trace = trace;
		this.#random = random;
		this.#buffer = new ResponseBuffer(outgoing, buffers, trace);
	}

	/** Whether the caller has received part of an answer. */
	get hasBegun(): boolean {
		return this.#outgoing.headersSent;
	}

	/** Whether another attempt may answer: nothing was sent, or a stream up to the end of an event that a new attempt can name. */
	get canContinue(): boolean {
		return !this.hasBegun || this.#isContinuable;
	}

	/** Whether the connection to the caller is closed, or the answer was given up because memory is short. */
	get isClosed(): boolean {
		return this.#outgoing.destroyed || this.#buffer.hasEnded;
	}

	/** Resolves once a conclusion that waits for the body of a failure is sent. */
	get concluded(): Promise<void> | undefined {
		return this.#conclusion;
	}

	/** Id of the last event of the stream that the caller has received. */
	get lastEventId(): string | undefined {
		return this.#lastEventId;
	}

	/**
	 * @param id - Id of the last event that the caller received before this request.
	 */
	resumeAfter(id: string | undefined): void {
		this.#lastEventId = id;
	}

	/** Notes that an attempt may have run the request: no answer may claim afterwards that it has not run. */
	noteMayHaveRun(): void {
		this.#mayHaveRun = true;
	}

	/**
	 * Forwards an upstream's response.
	 *
	 * @param reply - Head of the response.
	 * @param listener - Callbacks for the response's progress.
	 * @returns How the attempt ended.
	 */
	async forward(reply: Reply, listener: ReplyListener): Promise<AttemptEnding> {
		if (reply.verdict.type === 'stream') {
			return this.#forwardStream(reply, listener);
		}

		if (this.#outgoing.headersSent) {
			discardBody(reply.body);
			return {type: 'failed', status: reply.status};
		}

		return this.#forwardBody(reply, listener);
	}

	/**
	 * Keeps a failure while other attempts run, in place of an earlier one.
	 *
	 * @param reply - Head of the response.
	 * @returns Resolves once its body has been read or given up.
	 */
	async keepFailure(reply: Reply): Promise<void> {
		if (this.#outgoing.headersSent || this.isClosed) {
			discardBody(reply.body);
			return;
		}

		const failure = new KeptFailure(reply, this.#buffer);
		this.#failure?.drop();
		this.#failure = failure;
		this.#outgoing.once('close', () => {
			failure.drop();
		});
		await failure.body;
	}

	/**
	 * Ends a request that got no complete response from an upstream.
	 *
	 * @param name - Answer to send if nothing more specific is known.
	 * @param stopReason - Why the gateway stopped working on the request, if it did.
	 * @param wait - Milliseconds for which the caller would be refused again.
	 */
	conclude(name: AnswerName, stopReason: StopReason | undefined, wait = 0): void {
		const outgoing = this.#outgoing;
		if (stopReason === 'caller left' || outgoing.destroyed) {
			this.#trace.finish(this.#buffer.hasEnded ? 'broken off' : 'caller left');
			return;
		}

		if (outgoing.headersSent) {
			if (!outgoing.writableEnded) {
				breakOff(outgoing);
				this.#trace.finish('broken off');
			}

			return;
		}

		if (this.#failure !== undefined && stopReason === undefined) {
			this.#conclusion = this.#concludeWith(this.#failure, name, wait);
			return;
		}

		this.#refuseProven(name, wait);
	}

	/**
	 * Sends one of the gateway's own answers.
	 *
	 * @param name - Answer to send.
	 * @param retryAfter - Seconds after which the caller may retry.
	 */
	refuse(name: AnswerName, retryAfter?: number): void {
		if (!this.#outgoing.headersSent && !this.#outgoing.destroyed) {
			sendAnswer(this.#outgoing, name, retryAfter);
		}

		this.#trace.finish(name);
	}

	/**
	 * Waits until the caller has received a complete answer, or no longer reads it and its time is over.
	 *
	 * @param timeLeft - Returns the milliseconds until the deadline of the request.
	 */
	async delivered(timeLeft: () => number): Promise<void> {
		await this.#buffer.delivered(timeLeft);
	}

	async #forwardStream(reply: Reply, listener: ReplyListener): Promise<AttemptEnding> {
		let isFirst = true;
		const ending = await forwardEvents(this.#buffer, reply, {
			get yielding() {
				return listener.yielding;
			},
			maxEventBytes: listener.maxEventBytes,
			leads: listener.leads,
			stopped: listener.stopped,
			resumed: listener.resumed,
			onEvents: (lastId, canContinue) => {
				listener.receivedEvents();
				this.#trace.noteEvents();
				this.#lastEventId = lastId ?? this.#lastEventId;
				this.#isContinuable = canContinue;
				if (isFirst) {
					isFirst = false;
					listener.began();
					this.#ensureHead(reply);
				}
			},
			onComplete: () => {
				this.#isContinuable = false;
				this.#ensureHead(reply);
			},
		});
		if (ending.type === 'answered') {
			this.#buffer.finish();
		}

		return ending;
	}

	async #forwardBody(reply: Reply, listener: ReplyListener): Promise<AttemptEnding> {
		const body = await readBody(reply, this.#buffer);
		listener.began();
		switch (body.type) {
			case 'broken': {
				return {type: 'unknown', reason: body.reason, isDisconnected: body.isDisconnected};
			}

			case 'long': {
				if (!listener.leads()) {
					this.#buffer.countUnbegun({source: reply, bytes: 0});
					return {type: 'unknown', reason: outrunReason};
				}

				return this.#forwardLong(reply, body, listener);
			}

			case 'whole': {
				return this.#forwardWhole(reply, body, listener);
			}

			default: {
				return assertNever(body);
			}
		}
	}

	async #forwardLong(reply: Reply, body: LongBody, {maxBodyBytes}: ReplyListener): Promise<AttemptEnding> {
		writeHead(this.#outgoing, reply);
		const obstacle = await forwardLongBody(this.#buffer, reply, body, maxBodyBytes);
		if (obstacle !== undefined) {
			reply.body.destroy();
			return {type: 'unknown', reason: obstacle};
		}

		if (!await reply.isComplete()) {
			return {type: 'unknown', reason: brokenOffReason};
		}

		this.#buffer.finish();
		return {type: 'answered', status: reply.status};
	}

	#forwardWhole(reply: Reply, body: WholeBody, {leads}: ReplyListener): AttemptEnding {
		if (!leads()) {
			this.#buffer.countUnbegun({source: reply, bytes: 0});
			return {type: 'unknown', reason: outrunReason};
		}

		this.#sendWhole(reply, body);
		return {type: 'answered', status: reply.status};
	}

	/** Passes on a failure, unless its body can't be read or the request has ended meanwhile. */
	async #concludeWith({reply, body}: KeptFailure, name: AnswerName, wait: number): Promise<void> {
		const whole = await body;
		if (this.#outgoing.destroyed) {
			this.#trace.finish('caller left');
			return;
		}

		if (this.#outgoing.headersSent) {
			return;
		}

		if (whole === undefined) {
			this.#refuseProven(name, wait);
			return;
		}

		this.#sendWhole(reply, whole);
		this.#trace.finish('failed');
	}

	#refuseProven(name: AnswerName, wait: number): void {
		this.refuse(this.#toProvenAnswer(name), Math.max(baseRetryAfterSeconds, wait / 1000) + (this.#random() * retryAfterSpreadSeconds));
	}

	/** Sends the head of a stream unless a previous attempt has sent it. */
	#ensureHead(reply: Reply): void {
		if (!this.#outgoing.headersSent) {
			writeHead(this.#outgoing, reply);
		}
	}

	#sendWhole(reply: Reply, {bytes}: WholeBody): void {
		writeHead(this.#outgoing, reply, bytes.length);
		this.#buffer.finish([bytes]);
	}

	/** Returns an answer that claims only what is known: that the request has not run only if no attempt may have run it. */
	#toProvenAnswer(name: AnswerName): AnswerName {
		if (this.#mayHaveRun) {
			return name === 'convicted' ? 'convictedAfterRun' : (name === 'deadlinePassed' ? name : 'outcomeUnknown');
		}

		return name === 'deadlinePassed' ? 'deadlineBeforeStart' : name;
	}
}
