/** Follows the frames of one attempt across its connections: each frame once, in order, and none of another attempt. */
import {createParser, type EventSourceMessage, type EventSourceParser} from 'eventsource-parser';
import {type Ending} from '../core/index.js';
import {frameSchema, streamEnd} from './protocol.js';

/** Takes what an engine sends. */
export type Sink = {
	/** Bytes may have reached the engine. */
	readonly written: () => void;
	/** The next frame; a promise is awaited before the one after it. */
	readonly frame: (offset: number, data: string) => Promise<void> | undefined;
	/** A frame that does not belong here was dropped. */
	readonly stray: (reason: 'attempt' | 'offset') => void;
};

/** How one connection of a stream came to its end. */
export type Stretch
	= | {readonly type: 'complete'}
		| {readonly type: 'broken'; readonly detail: string}
		| {readonly type: 'refused'; readonly status: number; readonly detail: string}
		| {readonly type: 'silent'; readonly detail: string};

/** Follows one attempt's frames. */
export class Follower {
	readonly #sink: Sink;
	readonly #prefix: string;
	readonly #decoder = new TextDecoder();
	#next: number;
	#tokens = 0;
	#cached: number | undefined;
	#stretch: Stretch | undefined;
	#room: Promise<void> | undefined;
	#parser = this.#newParser();

	constructor(attempt: string, sink: Sink, next = 0) {
		this.#sink = sink;
		this.#prefix = `${attempt}/`;
		this.#next = next;
	}

	get next(): number {
		return this.#next;
	}

	get ending(): Ending {
		return {type: 'done', tokens: this.#tokens, cachedTokens: this.#cached};
	}

	/** How the present connection came to its end, if it did. */
	get stretch(): Stretch | undefined {
		return this.#stretch;
	}

	/** Begins a new connection of the same stream. */
	restart(): void {
		this.#stretch = undefined;
		this.#parser = this.#newParser();
	}

	/**
	 * @param chunk - Bytes of the engine's response.
	 * @returns A promise to wait for where the caller's buffer is full.
	 */
	feed(chunk: Uint8Array): Promise<void> | undefined {
		this.#room = undefined;
		this.#parser.feed(this.#decoder.decode(chunk, {stream: true}));
		return this.#room;
	}

	#newParser(): EventSourceParser {
		return createParser({
			onEvent: event => {
				this.#take(event);
			},
		});
	}

	#take({id = '', data}: EventSourceMessage): void {
		if (this.#stretch !== undefined) {
			return;
		}

		if (data === streamEnd) {
			this.#stretch = {type: 'complete'};
		} else if (id === this.#prefix + String(this.#next)) {
			this.#pass(data);
		} else {
			this.#drop(id);
		}
	}

	#pass(data: string): void {
		const offset = this.#next;
		this.#next++;
		this.#tokens++;
		this.#readUsage(data);
		this.#room = this.#sink.frame(offset, data) ?? this.#room;
	}

	/** A frame that is repeated or another attempt's is left out; one too early means that others are missing. */
	#drop(id: string): void {
		const isOwn = id.startsWith(this.#prefix);
		this.#sink.stray(isOwn ? 'offset' : 'attempt');
		if (isOwn && Number(id.slice(this.#prefix.length)) > this.#next) {
			this.#stretch = {type: 'broken', detail: 'a frame is missing'};
		}
	}

	/** Only the last frame has usage, so the others need not be parsed. */
	#readUsage(data: string): void {
		if (data.includes('"usage":{')) {
			const {usage} = frameSchema.parse(JSON.parse(data));
			this.#tokens = usage?.completion_tokens ?? this.#tokens;
			this.#cached = usage?.cached_tokens;
		}
	}
}
