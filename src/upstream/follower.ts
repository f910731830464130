/** Follows the frames of one attempt across connections. Passes on each frame once, in order, and drops frames of other attempts. */
import {createParser, type EventSourceMessage, type EventSourceParser} from 'eventsource-parser';
import {type Ending} from '../core/index.js';
import {frameSchema, streamEnd} from './protocol.js';

/** Receives the stream of an attempt. */
export type FrameSink = {
	/** Called when bytes may have reached the engine. */
	readonly written: () => void;
	/** Called with the next frame. No more data is read from the engine until the returned promise settles. */
	readonly frame: (offset: number, data: string) => Promise<void> | undefined;
	/** Called when a frame was dropped because of its attempt or offset. */
	readonly stray: (reason: 'attempt' | 'offset') => void;
};

/** How one connection of a stream ended. `silent` means that no byte was sent. */
export type ConnectionEnd
	= | {readonly type: 'complete'}
		| {readonly type: 'broken'; readonly detail: string}
		| {readonly type: 'refused'; readonly status: number; readonly detail: string}
		| {readonly type: 'silent'; readonly detail: string};

export class FrameFollower {
	readonly #sink: FrameSink;
	readonly #idPrefix: string;
	#decoder = new TextDecoder();
	#nextOffset: number;
	#tokens = 0;
	#cachedTokens: number | undefined;
	#connectionEnd: ConnectionEnd | undefined;
	#backpressure: Promise<void> | undefined;
	#parser = this.#createParser();

	constructor(attempt: string, sink: FrameSink, nextOffset = 0) {
		this.#sink = sink;
		this.#idPrefix = `${attempt}/`;
		this.#nextOffset = nextOffset;
	}

	/** Offset of the next expected frame. */
	get nextOffset(): number {
		return this.#nextOffset;
	}

	/** Ending of the attempt once its stream is complete. */
	get ending(): Ending {
		return {type: 'done', tokens: this.#tokens, cachedTokens: this.#cachedTokens};
	}

	/** How the current connection ended, or undefined while it is open. */
	get connectionEnd(): ConnectionEnd | undefined {
		return this.#connectionEnd;
	}

	/** Prepares for a new connection that resumes the stream. */
	startConnection(): void {
		this.#connectionEnd = undefined;
		this.#parser = this.#createParser();
		this.#decoder = new TextDecoder();
	}

	/**
	 * @param chunk - Bytes of the engine's response.
	 * @returns A promise to await before the next chunk, if a caller's send buffer is full.
	 */
	feed(chunk: Uint8Array): Promise<void> | undefined {
		this.#backpressure = undefined;
		this.#parser.feed(this.#decoder.decode(chunk, {stream: true}));
		return this.#backpressure;
	}

	#createParser(): EventSourceParser {
		return createParser({
			onEvent: event => {
				this.#handleEvent(event);
			},
		});
	}

	#handleEvent({id = '', data}: EventSourceMessage): void {
		if (this.#connectionEnd !== undefined) {
			return;
		}

		if (data === streamEnd) {
			this.#connectionEnd = {type: 'complete'};
		} else if (id === this.#idPrefix + String(this.#nextOffset)) {
			this.#passFrame(data);
		} else {
			this.#dropFrame(id);
		}
	}

	#passFrame(data: string): void {
		const offset = this.#nextOffset;
		this.#nextOffset++;
		this.#tokens++;
		this.#readUsage(data);
		this.#backpressure = this.#sink.frame(offset, data) ?? this.#backpressure;
	}

	/** Drops a repeated frame or a frame of another attempt. A frame beyond the expected offset means that frames are missing. */
	#dropFrame(id: string): void {
		const isOwn = id.startsWith(this.#idPrefix);
		this.#sink.stray(isOwn ? 'offset' : 'attempt');
		if (isOwn && Number(id.slice(this.#idPrefix.length)) > this.#nextOffset) {
			this.#connectionEnd = {type: 'broken', detail: 'a frame is missing'};
		}
	}

	/** Only the last frame has usage, so other frames are not parsed. */
	#readUsage(data: string): void {
		if (data.includes('"usage":{')) {
			const {usage} = frameSchema.parse(JSON.parse(data));
			this.#tokens = usage?.completion_tokens ?? this.#tokens;
			this.#cachedTokens = usage?.cached_tokens;
		}
	}
}
