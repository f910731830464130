/** One attempt at an engine: what was asked, how far it is, and the connections that follow it. */
import {streamEnd, type Frame} from '../../src/upstream/protocol.js';
import {answerToken} from './answer.js';
import {type Subscriber} from './subscriber.js';

/** What an attempt has to do. */
export type Wanted = {
	readonly id: string;
	/** Digest of the prompt, which decides the answer. */
	readonly digest: string;
	readonly promptTokens: number;
	readonly output: number;
};

export type AttemptStatus = 'running' | 'finished' | 'cancelled' | 'exported';

export class Attempt {
	readonly wanted: Wanted;
	readonly #subscribers = new Set<Subscriber>();
	#produced: number;
	#cachedTokens = 0;
	#status: AttemptStatus = 'running';

	constructor(wanted: Wanted, produced = 0) {
		this.wanted = wanted;
		this.#produced = produced;
	}

	/** Tokens decoded so far. */
	get produced(): number {
		return this.#produced;
	}

	get status(): AttemptStatus {
		return this.#status;
	}

	get cachedTokens(): number {
		return this.#cachedTokens;
	}

	start(cachedTokens: number): void {
		this.#cachedTokens = cachedTokens;
	}

	advance(produced: number): void {
		this.#produced = produced;
	}

	/**
	 * Ends the attempt. Subscribers of a cancelled or exported one are cut off without a terminal event.
	 *
	 * @param status - How it ended.
	 */
	end(status: Exclude<AttemptStatus, 'running'>): void {
		if (this.#status !== 'running') {
			return;
		}

		this.#status = status;
		if (status !== 'finished') {
			for (const subscriber of this.#subscribers) {
				subscriber.cut();
			}
		}
	}

	/**
	 * Lets a connection follow the attempt until it is whole or gone.
	 *
	 * @param subscriber - Connection.
	 */
	async follow(subscriber: Subscriber): Promise<void> {
		this.#subscribers.add(subscriber);
		subscriber.pump(this);
		await subscriber.closed;
		this.#subscribers.delete(subscriber);
	}

	/** Sends what was decoded since the last time. */
	pump(): void {
		for (const subscriber of this.#subscribers) {
			subscriber.pump(this);
		}
	}

	/**
	 * @param offset - Place of the frame, below {@link produced}.
	 * @returns The frame.
	 */
	frame(offset: number): Frame {
		const {id, digest, output, promptTokens} = this.wanted;
		const isLast = offset === output - 1;
		const content = answerToken(digest, offset);
		return {
			attempt: id,
			offset,
			choices: [{
				index: 0,
				delta: offset === 0 ? {role: 'assistant', content} : {content},
				finish_reason: isLast ? 'stop' : null,
			}],
			...(isLast && {
				usage: {prompt_tokens: promptTokens, completion_tokens: output, cached_tokens: this.#cachedTokens},
			}),
		};
	}
}

/**
 * @param frame - Frame of a stream.
 * @returns The event that carries it.
 */
export function eventOf(frame: Frame): string {
	return `id: ${frame.attempt}/${frame.offset}\ndata: ${JSON.stringify(frame)}\n\n`;
}

/** The event after the last frame. */
export const endEvent = `data: ${streamEnd}\n\n`;
