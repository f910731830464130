/** One attempt at an engine: its task, its progress and the connections subscribed to it. */
import {streamEnd, type Frame} from '../../src/upstream/protocol.js';
import {generateToken} from './answer.js';
import {type Subscriber} from './subscriber.js';

/** Work of an attempt. It also travels between engines inside an export. */
export type Task = {
	readonly id: string;
	/** Digest of the prompt, from which the answer is derived. */
	readonly digest: string;
	readonly promptTokens: number;
	/** Tokens to decode in all. */
	readonly output: number;
};

export type AttemptStatus = 'running' | 'finished' | 'cancelled' | 'exported';

export class Attempt {
	readonly task: Task;
	readonly #subscribers = new Set<Subscriber>();
	#produced: number;
	#cachedTokens = 0;
	#status: AttemptStatus = 'running';

	constructor(task: Task, produced = 0) {
		this.task = task;
		this.#produced = produced;
	}

	/** Tokens decoded so far, including those decoded before an import. */
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

	/** Ends the attempt. Connections to a cancelled or exported attempt are cut without a terminal event. */
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

	/** Keeps a connection subscribed until it closes or has sent the whole answer. */
	async subscribe(subscriber: Subscriber): Promise<void> {
		this.#subscribers.add(subscriber);
		subscriber.sendPending(this);
		await subscriber.closed;
		this.#subscribers.delete(subscriber);
	}

	/** Makes every subscriber send the tokens decoded since its last call. */
	notifySubscribers(): void {
		for (const subscriber of this.#subscribers) {
			subscriber.sendPending(this);
		}
	}

	/** Creates the frame at an offset below {@link produced}. */
	createFrame(offset: number): Frame {
		const {id, digest, output, promptTokens} = this.task;
		const isLast = offset === output - 1;
		const content = generateToken(digest, offset);
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

/** Formats a frame as a server-sent event. */
export function formatEvent(frame: Frame): string {
	return `id: ${frame.attempt}/${frame.offset}\ndata: ${JSON.stringify(frame)}\n\n`;
}

/** Server-sent event after the last frame. */
export const endEvent = `data: ${streamEnd}\n\n`;
