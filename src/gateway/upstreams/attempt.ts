/** Sends a request to one upstream and waits for the head of its response. */
import {type Buffer} from 'node:buffer';
import {type Agent, type ClientRequest, type IncomingMessage} from 'node:http';
import {type Address} from '../../core/index.js';
import {type LinkFailure} from '../../core/gateway/health/links.js';
import {judgeHead, type HeadVerdict, type ResponseHead} from '../../core/gateway/responses/head.js';
import {type AttemptEnding, type CancelReason} from '../../core/gateway/limits/retries.js';
import {probeEnd} from '../../protocol/connection-end.js';
import {isEventStreamType} from '../../protocol/event-splitter.js';
import {requestValidated} from '../../protocol/http/validated-request.js';
import {MalformedResponse} from '../../protocol/http/validated-socket.js';
import {limitInterimResponses} from '../../protocol/interim-responses.js';
import {findFraming, type Framing} from '../../protocol/response-framing.js';
import {type HeaderFormat, type ResponseMetadata} from '../platform-adapter.js';
import {ConnectionFailure, findTunnel, type Tunnel} from './connector.js';

/** Head of an upstream's response; the body hasn't been read yet. */
export type Reply = {
	readonly type: 'reply';
	/** What becomes of the response. */
	readonly verdict: Exclude<HeadVerdict, {readonly type: 'broken'}>;
	readonly status: number;
	readonly rawHeaders: readonly string[];
	readonly metadata: ResponseMetadata;
	/** What marks the end of the body. */
	readonly framing: Framing;
	readonly body: IncomingMessage;
	/** Aborted as this host cancels the attempt. */
	readonly signal: AbortSignal;
	/** Whether the body was received completely; to be called after its end. */
	readonly isComplete: () => Promise<boolean>;
};

export type UpstreamRequest = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly headers: readonly string[];
	readonly body: Buffer;
	readonly address: Address;
	/** Whether it may run again. */
	readonly isIdempotent: boolean;
	/** Interim responses that the upstream may send before its response. */
	readonly maxInterimResponses: number;
};

/** An attempt that ended without a response. */
export type EndedAttempt = {
	readonly type: 'ended';
	readonly ending: AttemptEnding;
	/** Why no connection was established; undefined if there was one or the attempt was cancelled. */
	readonly absence?: ConnectionAbsence;
};

/** Why no connection was established. */
export type ConnectionAbsence = {
	readonly failure: LinkFailure;
	/** Whether the link of this host may be to blame. */
	readonly isLinkDoubtful: boolean;
};

function createEnded(ending: AttemptEnding, absence?: ConnectionAbsence): EndedAttempt {
	return {type: 'ended', ending, absence};
}

function findAbsence(error: Error): ConnectionAbsence {
	return error instanceof ConnectionFailure ? {failure: error.failure, isLinkDoubtful: error.isLinkDoubtful} : {failure: 'silent', isLinkDoubtful: false};
}

/** Whether bytes were refused, rather than the end of the connection met. */
function isParseError(error: Error & {readonly code?: string}): boolean {
	return error instanceof MalformedResponse || (error.code?.startsWith('HPE_') === true && error.code !== 'HPE_INVALID_EOF_STATE');
}

function describeHead(id: string, status: number, metadata: ResponseMetadata, {headers}: IncomingMessage): ResponseHead {
	return {
		status,
		isForeign: metadata.request !== undefined && metadata.request !== id,
		isEncoded: headers['content-encoding'] !== undefined,
		hasContent: headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0,
		isEventStream: isEventStreamType(headers['content-type']),
		isSigned: metadata.isSigned,
		isNotRun: metadata.isNotRun || metadata.isMisdirected,
	};
}

/** One attempt to have a request answered by one upstream; the request is sent by `reply`. */
export class Attempt {
	readonly #request: UpstreamRequest;
	readonly #headerFormat: HeaderFormat;
	readonly #outgoing: ClientRequest;
	readonly #isOverrun: () => boolean;
	#isConnected = false;
	readonly #cancellation = new AbortController();
	#cancelled: CancelReason | undefined;
	#isBroken = false;
	#isMalformed = false;
	#framing: Framing | undefined;
	#tunnel: Tunnel | undefined;
	#endUnsent: (() => void) | undefined;

	/**
	 * @param upstreamRequest - Request and the upstream's address.
	 * @param headerFormat - Parses the head of the response.
	 * @param agent - Connection pool.
	 */
	constructor(upstreamRequest: UpstreamRequest, headerFormat: HeaderFormat, agent: Agent) {
		this.#request = upstreamRequest;
		this.#headerFormat = headerFormat;
		this.#outgoing = requestValidated({
			host: upstreamRequest.address.host,
			port: upstreamRequest.address.port,
			method: upstreamRequest.method,
			path: upstreamRequest.path,
			headers: upstreamRequest.headers,
			setHost: false,
			agent,
		});
		this.#isOverrun = limitInterimResponses(this.#outgoing, upstreamRequest.maxInterimResponses);
	}

	/** Why the attempt was cancelled, if it was. */
	get cancelled(): CancelReason | undefined {
		return this.#cancelled;
	}

	/** Whether the upstream has sent bytes that are no response; this host has closed the connection then. */
	get isMalformed(): boolean {
		return this.#isMalformed;
	}

	/** What marks the end of the response; undefined if its head hasn't been received. */
	get framing(): Framing | undefined {
		return this.#framing;
	}

	/** Tunnel that the request was sent over; undefined without one, and as long as there is no connection. */
	get tunnel(): Tunnel | undefined {
		return this.#tunnel;
	}

	/**
	 * Sends the request.
	 *
	 * @param onConnected - Called once there is a connection for it.
	 * @returns The head of the response, or how the attempt ended without one.
	 */
	async reply(onConnected?: () => void): Promise<Reply | EndedAttempt> {
		const outgoing = this.#outgoing;
		return new Promise(resolve => {
			this.#endUnsent = () => {
				resolve(this.#endWithoutReply('cancelled', undefined));
			};

			outgoing.on('socket', socket => {
				this.#tunnel = findTunnel(socket);
				if (socket.connecting) {
					socket.once('connect', () => {
						this.#isConnected = true;
						onConnected?.();
					});
				} else {
					this.#isConnected = true;
					onConnected?.();
				}
			});
			outgoing.on('response', body => {
				resolve(this.#readHead(body));
			});
			outgoing.on('upgrade', (response, socket) => {
				socket.destroy();
				resolve(this.#readHead(response));
			});
			outgoing.on('error', error => {
				this.#isBroken = true;
				this.#isMalformed ||= isParseError(error);
				resolve(this.#endWithoutReply(error.message, findAbsence(error)));
			});
			outgoing.on('close', () => {
				resolve(this.#endWithoutReply('closed', {failure: 'silent', isLinkDoubtful: false}));
			});
			outgoing.end(this.#request.body);
		});
	}

	/**
	 * Cancels the attempt by closing its connection, which stops the upstream's work.
	 *
	 * @param reason - Reason, for the log.
	 */
	cancel(reason: CancelReason): void {
		this.#cancelled ??= reason;
		this.#outgoing.destroy();
		this.#cancellation.abort();
		if (!this.#isConnected) {
			// A connection that is established later is not used.
			this.#endUnsent?.();
		}
	}

	#readHead(body: IncomingMessage): Reply | EndedAttempt {
		const status = body.statusCode ?? 0;
		const metadata = this.#headerFormat.parseResponse(status, body.headers);
		const framing = findFraming(this.#request.method, status, body.headers);
		this.#framing = framing;
		const verdict = judgeHead(describeHead(this.#request.id, status, metadata, body), this.#request.isIdempotent);
		if (verdict.type === 'broken') {
			this.#outgoing.destroy();
			return createEnded({type: 'unknown', reason: verdict.reason});
		}

		body.once('end', () => {
			// An upstream may respond before it has read the request body; the connection then can't be reused for another request.
			if (!this.#outgoing.writableFinished) {
				this.#outgoing.destroy();
			}
		});
		const properEnd = framing === 'connection' ? probeEnd(body.socket) : true;
		return {
			type: 'reply',
			verdict,
			status,
			rawHeaders: body.rawHeaders,
			metadata,
			framing,
			body,
			signal: this.#cancellation.signal,
			// Node.js reports a body without a length as complete even if its connection was reset, or destroyed by this host.
			isComplete: async () => {
				const isProper = await properEnd;
				return body.complete && !this.#isBroken && this.#cancelled === undefined && isProper;
			},
		};
	}

	#endWithoutReply(reason: string, absence: ConnectionAbsence | undefined): EndedAttempt {
		if (!this.#isConnected) {
			return createEnded({type: 'not-run', reason, isShed: false}, this.#cancelled === undefined ? absence : undefined);
		}

		if (this.#cancelled !== undefined) {
			return createEnded({type: 'cancelled', reason: this.#cancelled});
		}

		return createEnded({type: 'unknown', reason, isDisconnected: !this.#isOverrun()});
	}
}
