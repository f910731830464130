/** One sending of a request to one upstream, up to the head of its answer. */
import {type Buffer} from 'node:buffer';
import {
	request, type Agent, type ClientRequest, type IncomingMessage,
} from 'node:http';
import {type Socket} from 'node:net';
import {type Address} from '../core/index.js';
import {type AttemptEnding, type CancelReason} from '../core/gateway/retries.js';
import {type Dialect, type ReplyFacts} from './dialect.js';

/**
 * Milliseconds to make a connection: several round trips between regions. A lost opening packet is sent again only after a
 * second; callers of short prompts are served in time by another upstream by then.
 */
const connectTimeout = 120;

/** The head of an answer whose body has yet to be read. */
export type Reply = {
	readonly type: 'reply';
	readonly status: number;
	readonly raw: readonly string[];
	readonly facts: ReplyFacts;
	readonly body: IncomingMessage;
	/** Whether the body that was read is all of it; asked after its end. */
	readonly isWhole: () => Promise<boolean>;
};

export type Sending = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly headers: readonly string[];
	readonly body: Buffer;
	readonly address: Address;
};

/** An attempt that ended before any answer, and what it says of the upstream. */
export type Ended = {
	readonly type: 'ended';
	readonly ending: AttemptEnding;
	/** Why no connection was made, where it was wanted to the end. */
	readonly absence?: 'refused' | 'silent';
};

const refusedConnection = 'ECONNREFUSED';

function ended(ending: AttemptEnding, absence?: Ended['absence']): Ended {
	return {type: 'ended', ending, absence};
}

/** Why an answer's head can't be the one of this request, if so. */
function flaw(id: string, status: number, facts: ReplyFacts, reply: IncomingMessage): string | undefined {
	if (facts.request !== undefined && facts.request !== id) {
		return 'answer of another request';
	}

	if (reply.headers['content-encoding'] !== undefined) {
		return 'encoded answer';
	}

	return status >= 200 && status < 300 && !facts.isSigned ? 'unsigned answer' : undefined;
}

/** Whether an answer's end can be told from its bytes. */
function isFramed({headers}: IncomingMessage): boolean {
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/**
 * Tells an end from a reset, for an answer that lasts until its connection ends. Where bytes and a reset come together
 * libuv reports an end and drops the reset (in 1 of about 12 answers that an upstream broke off so). A write tells them
 * apart: it fails on a connection that was reset. Nobody reads an empty line that comes after the last request.
 *
 * @param socket - Connection of the answer.
 * @returns Whether the connection ended properly.
 */
async function probeEnd(socket: Socket): Promise<boolean> {
	return new Promise(resolve => {
		socket.once('error', () => {
			resolve(false);
		});
		socket.once('close', hadError => {
			resolve(!hadError);
		});
		socket.prependOnceListener('end', () => {
			socket.write('\r\n', error => {
				resolve(error === undefined || error === null);
			});
		});
	});
}

/** Sends a request and waits for the head of its answer. */
export class Attempt {
	readonly #sending: Sending;
	readonly #dialect: Dialect;
	readonly #outgoing: ClientRequest;
	#isConnected = false;
	#cancelled: CancelReason | undefined;
	#isBroken = false;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param sending - What is sent where.
	 * @param dialect - Reads the answer's head.
	 * @param agent - Connections.
	 */
	constructor(sending: Sending, dialect: Dialect, agent: Agent) {
		this.#sending = sending;
		this.#dialect = dialect;
		this.#outgoing = request({
			host: sending.address.host,
			port: sending.address.port,
			method: sending.method,
			path: sending.path,
			headers: sending.headers,
			setHost: false,
			agent,
		});
	}

	/** Why the attempt was given up, if it was. */
	get cancelled(): CancelReason | undefined {
		return this.#cancelled;
	}

	/** Settles with the head of the answer, or with how the attempt ended without one. */
	async reply(): Promise<Reply | Ended> {
		const outgoing = this.#outgoing;
		return new Promise(resolve => {
			outgoing.on('socket', socket => {
				if (!socket.connecting) {
					this.#isConnected = true;
					return;
				}

				this.#timer = setTimeout(() => {
					// A host that stood still learns of a connection made meanwhile before this.
					setImmediate(() => {
						if (socket.connecting) {
							outgoing.destroy(new Error('no connection in time'));
						}
					});
				}, connectTimeout);
				socket.once('connect', () => {
					this.#isConnected = true;
					clearTimeout(this.#timer);
				});
			});
			outgoing.on('response', body => {
				resolve(this.#read(body));
			});
			outgoing.on('error', (error: NodeJS.ErrnoException) => {
				clearTimeout(this.#timer);
				this.#isBroken = true;
				resolve(this.#failed(error.message, error.code === refusedConnection ? 'refused' : 'silent'));
			});
			outgoing.on('close', () => {
				clearTimeout(this.#timer);
				resolve(this.#failed('closed', 'silent'));
			});
			outgoing.end(this.#sending.body);
		});
	}

	/**
	 * Gives the attempt up: its connection is closed, which stops the upstream's work.
	 *
	 * @param reason - Why, for the log.
	 */
	cancel(reason: CancelReason): void {
		this.#cancelled ??= reason;
		this.#outgoing.destroy();
	}

	#read(body: IncomingMessage): Reply | Ended {
		const status = body.statusCode ?? 0;
		const facts = this.#dialect.readReply(status, body.headers);
		const wrong = flaw(this.#sending.id, status, facts, body);
		if (wrong !== undefined) {
			this.#outgoing.destroy();
			return ended({type: 'unknown', reason: wrong});
		}

		body.once('end', () => {
			// An upstream may answer before it has read the body: what it reads next on this connection must not be another request.
			if (!this.#outgoing.writableFinished) {
				this.#outgoing.destroy();
			}
		});
		const properEnd = isFramed(body) ? true : probeEnd(body.socket);
		return {
			type: 'reply',
			status,
			raw: body.rawHeaders,
			facts,
			body,
			// Node takes a body without a length for complete also where its connection was reset.
			isWhole: async () => {
				const isProper = await properEnd;
				return body.complete && !this.#isBroken && isProper;
			},
		};
	}

	#failed(reason: string, absence: Ended['absence']): Ended {
		if (!this.#isConnected) {
			return ended({type: 'not-run', reason, isShed: false}, this.#cancelled === undefined ? absence : undefined);
		}

		if (this.#cancelled !== undefined) {
			return ended({type: 'cancelled', reason: this.#cancelled});
		}

		return ended({type: 'unknown', reason});
	}
}
