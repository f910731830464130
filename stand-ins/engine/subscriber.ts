/** Connections subscribed to an attempt, answered by an event stream or by one JSON response. */
import {type Response as Outgoing} from 'restify';
import {type Frame} from '../../src/upstream/protocol.js';
import {sendJson} from '../common/server.js';
import {generateAnswer} from './answer.js';
import {endEvent, formatEvent, type Attempt} from './attempt.js';
import {type Faults} from './faults.js';

export type Subscriber = {
	/** Resolves when the response is finished or the connection is closed. */
	readonly closed: Promise<void>;
	/** Sends what was decoded since the last call. */
	readonly sendPending: (attempt: Attempt) => void;
	/** Closes the connection without finishing the response. */
	readonly cut: () => void;
};

async function waitForClose(outgoing: Outgoing): Promise<void> {
	return new Promise(resolve => {
		outgoing.once('close', resolve);
		outgoing.once('finish', resolve);
		if (outgoing.destroyed) {
			resolve();
		}
	});
}

/** Sends an event stream, respecting backpressure. */
export class StreamSubscriber implements Subscriber {
	readonly closed: Promise<void>;
	readonly #outgoing: Outgoing;
	readonly #faults: Faults;
	readonly #cutAfter: number | undefined;
	#nextOffset: number;
	#sentFrames = 0;
	#isBlocked = false;
	/** Event of a `reorder` fault, sent after the next one. */
	#delayedEvent: string | undefined;

	constructor(outgoing: Outgoing, offset: number, faults: Faults) {
		this.#outgoing = outgoing;
		this.#nextOffset = offset;
		this.#faults = faults;
		this.#cutAfter = faults.takeCut();
		this.closed = waitForClose(outgoing);
		outgoing.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		outgoing.flushHeaders();
	}

	cut(): void {
		this.#outgoing.destroy();
	}

	sendPending(attempt: Attempt): void {
		if (this.#isBlocked || this.#outgoing.destroyed || this.#outgoing.writableEnded) {
			return;
		}

		const text = this.#formatPending(attempt);
		if (text !== '') {
			this.#write(text, attempt);
		}

		if (this.#cutAfter !== undefined && this.#sentFrames >= this.#cutAfter) {
			this.#outgoing.socket?.end();
			return;
		}

		if (attempt.status === 'finished' && this.#nextOffset >= attempt.produced) {
			this.#outgoing.end(endEvent);
		}
	}

	#formatPending(attempt: Attempt): string {
		const allowedFrames = (this.#cutAfter ?? Number.MAX_SAFE_INTEGER) - this.#sentFrames;
		const endOffset = Math.min(attempt.produced, this.#nextOffset + allowedFrames);
		let text = '';
		for (; this.#nextOffset < endOffset; this.#nextOffset++) {
			text += this.#formatFrame(attempt.createFrame(this.#nextOffset));
			this.#sentFrames++;
		}

		return text + (attempt.status === 'finished' ? this.#takeDelayedEvent() : '');
	}

	#formatFrame(frame: Frame): string {
		const event = formatEvent(frame);
		switch (this.#faults.takeFrameFault()) {
			case 'cross': {
				const choices = [{index: 0, delta: {content: 'crossed '}, finish_reason: null}];
				return formatEvent({attempt: `crossed-${frame.attempt}`, offset: frame.offset, choices});
			}

			case 'repeat': {
				return event + event + this.#takeDelayedEvent();
			}

			case 'reorder': {
				const previousEvent = this.#takeDelayedEvent();
				this.#delayedEvent = event;
				return previousEvent;
			}

			default: {
				return event + this.#takeDelayedEvent();
			}
		}
	}

	#takeDelayedEvent(): string {
		const event = this.#delayedEvent ?? '';
		this.#delayedEvent = undefined;
		return event;
	}

	#write(text: string, attempt: Attempt): void {
		if (this.#outgoing.write(text)) {
			return;
		}

		this.#isBlocked = true;
		this.#outgoing.once('drain', () => {
			this.#isBlocked = false;
			this.sendPending(attempt);
		});
	}
}

/** Sends the complete answer as JSON once the attempt is finished. */
export class JsonSubscriber implements Subscriber {
	readonly closed: Promise<void>;
	readonly #outgoing: Outgoing;

	constructor(outgoing: Outgoing) {
		this.#outgoing = outgoing;
		this.closed = waitForClose(outgoing);
	}

	cut(): void {
		this.#outgoing.destroy();
	}

	sendPending(attempt: Attempt): void {
		if (attempt.status !== 'finished') {
			return;
		}

		const {id, digest, output, promptTokens} = attempt.task;
		sendJson(this.#outgoing, 200, {
			id,
			object: 'chat.completion',
			choices: [{
				index: 0,
				message: {role: 'assistant', content: generateAnswer(digest, output)},
				finish_reason: 'stop',
			}],
			usage: {prompt_tokens: promptTokens, completion_tokens: output, cached_tokens: attempt.cachedTokens},
		});
	}
}
