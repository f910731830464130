/** Splits a stream of server-sent events at event boundaries without changing a byte. Reads each byte once. */
import {Buffer} from 'node:buffer';
import {ByteBuffer} from './byte-buffer.js';

/** Usual limit of an event in bytes. */
const usualEventBytes = 1_000_000;

/** Longest id with which a stream can be continued: it is sent in a header. */
const maxIdLength = 1024;

const eventStreamType = /^text\/event-stream\s*(?:;|$)/iv;

/** Ids that a header can carry. */
const sendableId = /^[\u0021-\u007E](?:[\u0020-\u007E]*[\u0021-\u007E])?$/v;

const idField = 'id:';
const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const colon = 0x3A;
/** First character of an id field. */
const idStart = 0x69;

/** Characters of a line from which its id can be read: the field, a space, and one more than an id may have. */
const maxLineHeadLength = idField.length + maxIdLength + 2;

/**
 * @param type - Content type of a response, if it has one.
 * @returns Whether the response is a stream of server-sent events.
 */
export function isEventStreamType(type: string | undefined): boolean {
	return type !== undefined && eventStreamType.test(type);
}

/** Complete events. */
export type WholeEvents = {
	readonly bytes: Buffer;
	readonly count: number;
	/** Id of the last event that has one. */
	readonly lastId?: string;
};

/** The line that is being read. */
type Line = 'comment' | 'empty' | 'field' | 'possible id';

/** A complete block of lines: an event, or blank lines and comments, which belong to none. */
type Block = {
	readonly isEvent: boolean;
	readonly id?: string;
};

function beginLine(byte: number): Line {
	switch (byte) {
		case colon: {
			return 'comment';
		}

		case idStart: {
			return 'possible id';
		}

		default: {
			return 'field';
		}
	}
}

/** Returns the id in the beginning of a line; undefined if it isn't a field of this name, and empty if a header can't carry it. */
function findId(lineHead: string): string | undefined {
	if (!lineHead.startsWith(idField)) {
		return undefined;
	}

	const id = lineHead.slice(lineHead[idField.length] === ' ' ? idField.length + 1 : idField.length);
	return id.length <= maxIdLength && sendableId.test(id) ? id : '';
}

/** Finds the ends of lines and blocks, byte by byte. */
class LineReader {
	#line: Line = 'empty';
	/** Beginning of a line that may have an id, as far as it came in earlier chunks. */
	#lineHead = '';
	#hasField = false;
	#id: string | undefined;
	/** Whether the previous byte was a carriage return: a line feed after it belongs to the same line end. */
	#isAfterReturn = false;
	/** Line ends since the last other byte. */
	#trailingLineEndBytes = 0;

	/** Whether a field has begun since the last block. */
	get isInsideEvent(): boolean {
		return this.#hasField || this.#line === 'field' || this.#line === 'possible id';
	}

	/** Bytes of line ends that the text so far ends with; with the next byte they may be a blank line. */
	get trailingLineEndBytes(): number {
		return this.#trailingLineEndBytes;
	}

	/**
	 * @param chunk - Next bytes.
	 * @param onBlock - Called with each block and the offset after it.
	 */
	read(chunk: Buffer, onBlock: (block: Block, end: number) => void): void {
		let lineStart = 0;
		for (let index = 0; index < chunk.length; index++) {
			const byte = chunk[index]!;
			if (byte !== lineFeed && byte !== carriageReturn) {
				if (this.#line === 'empty') {
					this.#line = beginLine(byte);
					lineStart = index;
				}

				this.#isAfterReturn = false;
				this.#trailingLineEndBytes = 0;
				continue;
			}

			this.#trailingLineEndBytes++;
			const isSecondHalf = byte === lineFeed && this.#isAfterReturn;
			this.#isAfterReturn = byte === carriageReturn;
			if (isSecondHalf) {
				continue;
			}

			if (this.#line === 'empty') {
				const end = byte === carriageReturn && chunk[index + 1] === lineFeed ? index + 2 : index + 1;
				onBlock(this.#takeBlock(), end);
				continue;
			}

			this.#endLine(chunk, lineStart, index);
		}

		if (this.#line === 'possible id') {
			this.#extendLineHead(chunk, lineStart, chunk.length);
		}
	}

	#endLine(chunk: Buffer, start: number, end: number): void {
		if (this.#line === 'possible id') {
			this.#extendLineHead(chunk, start, end);
			this.#id = findId(this.#lineHead) ?? this.#id;
			this.#lineHead = '';
		}

		this.#hasField ||= this.#line !== 'comment';
		this.#line = 'empty';
	}

	#extendLineHead(chunk: Buffer, start: number, end: number): void {
		const missing = maxLineHeadLength - this.#lineHead.length;
		// Latin-1 maps each byte to one character.
		this.#lineHead += chunk.toString('latin1', start, Math.min(end, start + missing));
	}

	#takeBlock(): Block {
		const block: Block = {isEvent: this.#hasField, id: this.#id === '' ? undefined : this.#id};
		this.#hasField = false;
		this.#id = undefined;
		return block;
	}
}

export class EventSplitter {
	readonly #maxEventBytes: number;
	readonly #reader = new LineReader();
	/** Bytes after the last complete block. */
	readonly #pending = new ByteBuffer();
	#hasPassedPart = false;
	#hasEvents = false;
	#isLastIdentified = false;
	#bytesWithoutEvent = 0;

	/**
	 * @param maxEventBytes - A longer unfinished event is passed on in parts.
	 */
	constructor(maxEventBytes = usualEventBytes) {
		this.#maxEventBytes = maxEventBytes;
	}

	/** Bytes since the end of the last event, blank lines and comments included. */
	get bytesWithoutEvent(): number {
		return this.#bytesWithoutEvent;
	}

	/** Bytes after the last event that haven't been passed on; valid until the next chunk. */
	get rest(): Buffer {
		return this.#pending.bytes;
	}

	/** Whether the bytes so far end inside an event. */
	get isInsideEvent(): boolean {
		return this.#reader.isInsideEvent;
	}

	/** Whether a part of an unfinished event has been passed on. */
	get hasPassedPart(): boolean {
		return this.#hasPassedPart;
	}

	/** Whether there was an event. */
	get hasEvents(): boolean {
		return this.#hasEvents;
	}

	/** Whether the last complete event has an id after which the stream can be continued. */
	get isLastIdentified(): boolean {
		return this.#isLastIdentified;
	}

	/**
	 * @param chunk - Next bytes of the stream.
	 * @returns The events that are complete now.
	 */
	push(chunk: Buffer): WholeEvents {
		let end = 0;
		let count = 0;
		let lastId: string | undefined;
		this.#bytesWithoutEvent += chunk.length;
		this.#reader.read(chunk, (block, blockEnd) => {
			end = blockEnd;
			this.#hasPassedPart = false;
			if (block.isEvent) {
				count++;
				lastId = block.id ?? lastId;
				this.#hasEvents = true;
				this.#isLastIdentified = block.id !== undefined;
				this.#bytesWithoutEvent = chunk.length - blockEnd;
			}
		});
		if (end === 0) {
			this.#pending.append(chunk);
			return this.#pending.length > this.#maxEventBytes ? this.#passPart() : {bytes: Buffer.alloc(0), count: 0};
		}

		return {bytes: this.#takeBlocks(chunk, end), count, lastId};
	}

	/** Returns the pending bytes and those of the chunk up to an offset; the others are pending then. */
	#takeBlocks(chunk: Buffer, end: number): Buffer {
		let bytes = chunk.subarray(0, end);
		if (this.#pending.length > 0) {
			this.#pending.append(bytes);
			bytes = this.#pending.take();
		}

		if (end < chunk.length) {
			this.#pending.append(chunk.subarray(end));
		}

		return bytes;
	}

	#passPart(): WholeEvents {
		const pending = this.#pending.take();
		const end = pending.length - Math.min(this.#reader.trailingLineEndBytes, pending.length);
		this.#hasPassedPart = true;
		this.#pending.append(pending.subarray(end));
		return {bytes: pending.subarray(0, end), count: 0};
	}
}
