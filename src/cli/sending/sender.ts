/** Sends one request: repeats it with a ticket if a host requires one, tries the next host on failure, and resumes interrupted streams. */
import {setTimeout} from 'node:timers/promises';
import {codes, type Address} from '../../core/index.js';
import {answerHeaders, callerHeaders} from '../../protocol/callers.js';
import {formatAddress} from '../../protocol/address.js';
import {type Terminal} from '../terminal.js';
import {
	readStream,
	parseApiError,
	parseContent,
	type ApiError,
} from './answer.js';
import {
	sendCall, readBody, type Call, type Reply,
} from './call.js';

/** Attempts of one request, over all hosts. */
const maxAttempts = 8;

/** Delay before the next host is tried. */
const retryDelayMs = 200;

type Answered = Extract<Reply, {type: 'answered'}>;

/** Result of one attempt. */
type AttemptResult
	= | {readonly type: 'ended'; readonly code: number}
		| {readonly type: 'ticket'; readonly ticket: string}
	/** Nothing was sent. */
		| {readonly type: 'unreached'; readonly reason: string}
		| {readonly type: 'cut'; readonly reason: string};

export class Sender {
	readonly #terminal: Terminal;
	readonly #hosts: readonly Address[];
	readonly #call: Call;
	/** Whether the request declares that it may be sent again. */
	readonly #isRepeatable: boolean;
	#ticket: string | undefined;
	#position: string | undefined;

	/**
	 * @param terminal - Receives the answer on standard output, errors on standard error.
	 * @param hosts - Caller listeners, tried in turn when one fails.
	 * @param call - Request.
	 * @param isRepeatable - Whether the request declares that it may be sent again.
	 */
	constructor(terminal: Terminal, hosts: readonly Address[], call: Call, isRepeatable: boolean) {
		this.#terminal = terminal;
		this.#hosts = hosts;
		this.#call = call;
		this.#isRepeatable = isRepeatable;
	}

	/**
	 * @returns The result code of the request.
	 */
	async send(): Promise<number> {
		let next = 0;
		let code: number = codes.notConnected;
		for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
			const address = this.#hosts[next % this.#hosts.length]!;
			const result = await this.#attempt(address);
			switch (result.type) {
				case 'ended': {
					return result.code;
				}

				case 'ticket': {
					this.#ticket = result.ticket;
					break;
				}

				case 'unreached':
				case 'cut': {
					this.#terminal.complain(`${formatAddress(address)}: ${result.reason}\n`);
					code = result.type === 'cut' ? codes.outcomeUnknown : code;
					if (result.type === 'cut' && !this.#isSafeToRepeat()) {
						return code;
					}

					next += 1;
					await setTimeout(retryDelayMs);
					break;
				}
			}
		}

		return code;
	}

	#isSafeToRepeat(): boolean {
		return this.#isRepeatable || this.#ticket !== undefined || this.#position !== undefined;
	}

	async #attempt(address: Address): Promise<AttemptResult> {
		const reply = await sendCall(address, {...this.#call, headers: this.#createHeaders()});
		switch (reply.type) {
			case 'unreached': {
				return reply;
			}

			case 'lost': {
				return {type: 'cut', reason: reply.reason};
			}

			case 'answered': {
				return this.#readAnswer(reply);
			}
		}
	}

	#createHeaders(): Readonly<Record<string, string>> {
		return {
			...this.#call.headers,
			...(this.#ticket !== undefined && {[callerHeaders.ticket]: this.#ticket}),
			...(this.#position !== undefined && {[callerHeaders.position]: this.#position}),
		};
	}

	async #readAnswer(reply: Answered): Promise<AttemptResult> {
		const isStream = reply.headers.get('content-type')?.startsWith('text/event-stream') === true;
		return isStream ? this.#readStream(reply) : this.#readWholeAnswer(reply);
	}

	async #readStream({body}: Answered): Promise<AttemptResult> {
		const end = await readStream(body, {
			content: this.#terminal.write,
			position: id => {
				this.#position = id;
			},
		});
		switch (end.type) {
			case 'done': {
				this.#terminal.write('\n');
				return {type: 'ended', code: codes.done};
			}

			case 'failed': {
				return this.#reportError(end.error);
			}

			case 'cut': {
				return {type: 'cut', reason: 'The stream was interrupted.'};
			}
		}
	}

	async #readWholeAnswer({status, headers, body}: Answered): Promise<AttemptResult> {
		const text = await tryReadBody(body);
		if (text === undefined) {
			return {type: 'cut', reason: 'The answer was interrupted.'};
		}

		// Answers that the host passes through carry the code as a trailer, not as a header.
		const isFromHost = headers.has(answerHeaders.code);
		if (status < 400) {
			this.#terminal.write(isFromHost ? `${parseContent(text)}\n` : text);
			return {type: 'ended', code: codes.done};
		}

		const error = parseApiError(text);
		const ticket = error.ticket ?? headers.get(answerHeaders.ticket) ?? undefined;
		if (error.code === codes.ticketRequired && ticket !== undefined && this.#ticket === undefined) {
			return {type: 'ticket', ticket};
		}

		if (isFromHost) {
			return this.#reportError(error);
		}

		this.#terminal.write(text);
		return this.#reportError({message: `The service answered with status ${status}.`, type: 'failed', code: codes.upstreamFailed});
	}

	#reportError({message, type, code}: ApiError): AttemptResult {
		this.#terminal.complain(`error ${code}: ${type}: ${message}\n`);
		return {type: 'ended', code};
	}
}

async function tryReadBody(body: AsyncIterable<Uint8Array>): Promise<string | undefined> {
	try {
		return await readBody(body);
	} catch {
		return undefined;
	}
}
