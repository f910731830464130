/** Sends one prompt: takes the ticket it is given, moves on from hosts that fail, and resumes a stream where it was cut. */
import {setTimeout} from 'node:timers/promises';
import {codes, type Address} from '../../core/index.js';
import {answerHeaders, callerHeaders} from '../../protocol/callers.js';
import {formatAddress} from '../../protocol/address.js';
import {type Terminal} from '../terminal.js';
import {
	followStream,
	readComplaint,
	readContent,
	type Complaint,
} from './answer.js';
import {
	place, readBody, type Call, type Reply,
} from './call.js';

/** Tries of one prompt, whatever fails. */
const mostTries = 8;

/** Milliseconds before the next host is tried. */
const pause = 200;

type Answered = Extract<Reply, {type: 'answered'}>;

/** What one try came to. */
type Turn
	= | {readonly type: 'ended'; readonly code: number}
		| {readonly type: 'ticket'; readonly ticket: string}
	/** Nothing was sent. */
		| {readonly type: 'unreached'; readonly reason: string}
		| {readonly type: 'cut'; readonly reason: string};

export class Sender {
	readonly #terminal: Terminal;
	readonly #hosts: readonly Address[];
	readonly #call: Call;
	/** Whether the request shows that it may be sent again. */
	readonly #mayRepeat: boolean;
	#ticket: string | undefined;
	#position: string | undefined;

	/**
	 * @param terminal - Where the answer is written.
	 * @param hosts - Callers' listeners; the next is tried where one fails.
	 * @param call - What to send.
	 * @param mayRepeat - Whether the request shows that it may be sent again.
	 */
	constructor(terminal: Terminal, hosts: readonly Address[], call: Call, mayRepeat: boolean) {
		this.#terminal = terminal;
		this.#hosts = hosts;
		this.#call = call;
		this.#mayRepeat = mayRepeat;
	}

	/**
	 * @returns The result code of the whole.
	 */
	async send(): Promise<number> {
		let next = 0;
		let code: number = codes.notConnected;
		for (let tries = 0; tries < mostTries; tries += 1) {
			const address = this.#hosts[next % this.#hosts.length]!;
			const turn = await this.#try(address);
			switch (turn.type) {
				case 'ended': {
					return turn.code;
				}

				case 'ticket': {
					this.#ticket = turn.ticket;
					break;
				}

				case 'unreached':
				case 'cut': {
					this.#terminal.complain(`${formatAddress(address)}: ${turn.reason}\n`);
					code = turn.type === 'cut' ? codes.outcomeUnknown : code;
					if (turn.type === 'cut' && !this.#isSafeToRepeat()) {
						return code;
					}

					next += 1;
					await setTimeout(pause);
					break;
				}
			}
		}

		return code;
	}

	#isSafeToRepeat(): boolean {
		return this.#mayRepeat || this.#ticket !== undefined || this.#position !== undefined;
	}

	async #try(address: Address): Promise<Turn> {
		const reply = await place(address, {...this.#call, headers: this.#headers()});
		switch (reply.type) {
			case 'unreached': {
				return reply;
			}

			case 'lost': {
				return {type: 'cut', reason: reply.reason};
			}

			case 'answered': {
				return this.#read(reply);
			}
		}
	}

	#headers(): Readonly<Record<string, string>> {
		return {
			...this.#call.headers,
			...(this.#ticket !== undefined && {[callerHeaders.ticket]: this.#ticket}),
			...(this.#position !== undefined && {[callerHeaders.position]: this.#position}),
		};
	}

	async #read(reply: Answered): Promise<Turn> {
		const isStream = reply.headers.get('content-type')?.startsWith('text/event-stream') === true;
		return isStream ? this.#follow(reply) : this.#take(reply);
	}

	async #follow({body}: Answered): Promise<Turn> {
		const end = await followStream(body, {
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

			case 'complained': {
				return this.#complain(end.complaint);
			}

			case 'cut': {
				return {type: 'cut', reason: 'The stream was cut.'};
			}
		}
	}

	async #take({status, headers, body}: Answered): Promise<Turn> {
		const text = await readWhole(body);
		if (text === undefined) {
			return {type: 'cut', reason: 'The answer was cut.'};
		}

		const isOurs = headers.has(answerHeaders.code);
		if (status < 400) {
			this.#terminal.write(isOurs ? `${readContent(text)}\n` : text);
			return {type: 'ended', code: codes.done};
		}

		const complaint = readComplaint(text);
		const ticket = complaint.ticket ?? headers.get(answerHeaders.ticket) ?? undefined;
		if (complaint.code === codes.ticketRequired && ticket !== undefined && this.#ticket === undefined) {
			return {type: 'ticket', ticket};
		}

		if (isOurs) {
			return this.#complain(complaint);
		}

		this.#terminal.write(text);
		return this.#complain({message: `The service answered with status ${status}.`, type: 'failed', code: codes.upstreamFailed});
	}

	#complain({message, type, code}: Complaint): Turn {
		this.#terminal.complain(`error ${code}: ${type}: ${message}\n`);
		return {type: 'ended', code};
	}
}

async function readWhole(body: AsyncIterable<Uint8Array>): Promise<string | undefined> {
	try {
		return await readBody(body);
	} catch {
		return undefined;
	}
}
