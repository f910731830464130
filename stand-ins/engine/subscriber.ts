/** A connection that follows an attempt, as an event stream or as one whole answer. */
import {type Response as Outgoing} from 'restify';
import {type Frame} from '../../src/upstream/protocol.js';
import {answerJson} from '../common/server.js';
import {answerText} from './answer.js';
import {endEvent, eventOf, type Attempt} from './attempt.js';
import {type Faults} from './faults.js';

export type Subscriber = {
	/** Resolves when the connection needs the attempt no longer. */
	readonly closed: Promise<void>;
	/** Sends what is new. */
	readonly pump: (attempt: Attempt) => void;
	/** Breaks the connection off. */
	readonly cut: () => void;
};

async function closing(outgoing: Outgoing): Promise<void> {
	return new Promise(resolve => {
		outgoing.once('close', resolve);
		outgoing.once('finish', resolve);
		if (outgoing.destroyed) {
			resolve();
		}
	});
}

/** Sends an event stream; heeds back pressure. */
export class StreamSubscriber implements Subscriber {
	readonly closed: Promise<void>;
	readonly #outgoing: Outgoing;
	readonly #faults: Faults;
	readonly #cutAfter: number | undefined;
	#next: number;
	#sent = 0;
	#isBlocked = false;
	#heldBack: string | undefined;

	constructor(outgoing: Outgoing, offset: number, faults: Faults) {
		this.#outgoing = outgoing;
		this.#next = offset;
		this.#faults = faults;
		this.#cutAfter = faults.takeCut();
		this.closed = closing(outgoing);
		outgoing.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		outgoing.flushHeaders();
	}

	cut(): void {
		this.#outgoing.destroy();
	}

	pump(attempt: Attempt): void {
		if (this.#isBlocked || this.#outgoing.destroyed || this.#outgoing.writableEnded) {
			return;
		}

		const text = this.#collect(attempt);
		if (text !== '') {
			this.#write(text, attempt);
		}

		if (this.#cutAfter !== undefined && this.#sent >= this.#cutAfter) {
			this.#outgoing.socket?.end();
			return;
		}

		if (attempt.status === 'finished' && this.#next >= attempt.produced) {
			this.#outgoing.end(endEvent);
		}
	}

	#collect(attempt: Attempt): string {
		const allowed = (this.#cutAfter ?? Number.MAX_SAFE_INTEGER) - this.#sent;
		const until = Math.min(attempt.produced, this.#next + allowed);
		let text = '';
		for (; this.#next < until; this.#next++) {
			text += this.#eventFor(attempt.frame(this.#next));
			this.#sent++;
		}

		return text + (attempt.status === 'finished' ? this.#takeHeldBack() : '');
	}

	#eventFor(frame: Frame): string {
		const event = eventOf(frame);
		switch (this.#faults.takeFrameFault()) {
			case 'cross': {
				const choices = [{index: 0, delta: {content: 'crossed '}, finish_reason: null}];
				return eventOf({attempt: `crossed-${frame.attempt}`, offset: frame.offset, choices});
			}

			case 'repeat': {
				return event + event + this.#takeHeldBack();
			}

			case 'reorder': {
				const earlier = this.#takeHeldBack();
				this.#heldBack = event;
				return earlier;
			}

			default: {
				return event + this.#takeHeldBack();
			}
		}
	}

	#takeHeldBack(): string {
		const event = this.#heldBack ?? '';
		this.#heldBack = undefined;
		return event;
	}

	#write(text: string, attempt: Attempt): void {
		if (this.#outgoing.write(text)) {
			return;
		}

		this.#isBlocked = true;
		this.#outgoing.once('drain', () => {
			this.#isBlocked = false;
			this.pump(attempt);
		});
	}
}

/** Sends the whole answer once it is there. */
export class WholeSubscriber implements Subscriber {
	readonly closed: Promise<void>;
	readonly #outgoing: Outgoing;

	constructor(outgoing: Outgoing) {
		this.#outgoing = outgoing;
		this.closed = closing(outgoing);
	}

	cut(): void {
		this.#outgoing.destroy();
	}

	pump(attempt: Attempt): void {
		if (attempt.status !== 'finished') {
			return;
		}

		const {id, digest, output, promptTokens} = attempt.wanted;
		answerJson(this.#outgoing, 200, {
			id,
			object: 'chat.completion',
			choices: [{
				index: 0,
				message: {role: 'assistant', content: answerText(digest, output)},
				finish_reason: 'stop',
			}],
			usage: {prompt_tokens: promptTokens, completion_tokens: output, cached_tokens: attempt.cachedTokens},
		});
	}
}
