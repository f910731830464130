/**
 * Validates the bytes of the responses to one request. What the HTTP parser of Node.js accepts depends on its release and its options, and
 * it hides folded lines; bytes that pass here are read by all of them in the same way.
 */
import {bodilessStatuses} from '../response-framing.js';
import {carriageReturn, describeByte, lineFeed} from './bytes.js';
import {ChunkLine} from './chunk-line.js';
import {FieldSection} from './field-section.js';
import {StatusLine} from './status-line.js';

/** Longest head, trailer section, and extensions of all chunks of a response, in bytes each: the default of Node.js. */
export const maxHeadBytes = 16_384;

const switchingProtocolsStatus = 101;
const firstFinalStatus = 200;

/** Where bytes break the grammar. */
export type Malformation = {
	readonly reason: string;
	/** Number of bytes before it in the piece. */
	readonly offset: number;
};

/** What the next bytes are part of. */
type Part
	/** Empty lines before a response. */
	= | {readonly type: 'start'}
		| {readonly type: 'status'; readonly line: StatusLine}
		| {readonly type: 'head'; readonly line: StatusLine; readonly fields: FieldSection}
		| {readonly type: 'chunk line'; readonly line: ChunkLine}
		| {readonly type: 'chunk end'; readonly next: 'carriage return' | 'line feed'}
		| {readonly type: 'trailers'; readonly fields: FieldSection}
	/** Bytes of any kind; `isChunk` if they are those of one chunk. */
		| {readonly type: 'content'; readonly isChunk: boolean}
	/** The last response of the connection has ended. */
		| {readonly type: 'closed'};

const start: Part = {type: 'start'};

function listTokens(values: readonly string[]): readonly string[] {
	return values.flatMap(value => value.split(',')).map(token => token.trim().toLowerCase());
}

function isPersistent({minorVersion}: StatusLine, fields: FieldSection): boolean {
	const tokens = listTokens(fields.listValues('connection'));
	return minorVersion === 0 ? tokens.includes('keep-alive') : !tokens.includes('close');
}

export class ResponseValidator {
	readonly #method: string;
	#part: Part = start;
	/** Bytes of the present head or trailer section. */
	#sectionLength = 0;
	#extensionLength = 0;
	/** Bytes of content that follow. */
	#contentLeft = 0;
	#isPersistent = true;

	/**
	 * @param method - Method of the request.
	 */
	constructor(method: string) {
		this.#method = method;
	}

	/**
	 * @param bytes - Next bytes of the connection.
	 * @returns Where they break the grammar; undefined if they don't.
	 */
	validate(bytes: Uint8Array): Malformation | undefined {
		let offset = 0;
		while (offset < bytes.length) {
			if (this.#part.type === 'content') {
				offset += this.#skipContent(this.#part.isChunk, bytes.length - offset);
				continue;
			}

			const reason = this.#accept(bytes[offset]!);
			if (reason !== undefined) {
				return {reason, offset};
			}

			offset++;
		}

		return undefined;
	}

	/** Returns the number of bytes that are content. */
	#skipContent(isChunk: boolean, length: number): number {
		const skipped = Math.min(length, this.#contentLeft);
		this.#contentLeft -= skipped;
		if (this.#contentLeft === 0) {
			this.#part = isChunk ? {type: 'chunk end', next: 'carriage return'} : this.#end();
		}

		return skipped;
	}

	#accept(byte: number): string | undefined {
		const part = this.#part;
		switch (part.type) {
			case 'start': {
				return this.#acceptStart(byte);
			}

			case 'status': {
				const reason = this.#count() ?? part.line.accept(byte);
				if (part.line.isComplete) {
					this.#part = {type: 'head', line: part.line, fields: new FieldSection()};
				}

				return reason;
			}

			case 'head': {
				const reason = this.#count() ?? part.fields.accept(byte);
				return reason ?? (part.fields.isComplete ? this.#endHead(part.line, part.fields) : undefined);
			}

			case 'chunk line': {
				return this.#acceptChunkLine(part.line, byte);
			}

			case 'chunk end': {
				return this.#acceptChunkEnd(part.next, byte);
			}

			case 'trailers': {
				const reason = this.#count() ?? part.fields.accept(byte);
				return reason ?? (part.fields.isComplete ? this.#endTrailers(part.fields) : undefined);
			}

			case 'closed': {
				return byte === carriageReturn || byte === lineFeed ? undefined : 'bytes after the last response of the connection';
			}

			case 'content': {
				return undefined;
			}
		}
	}

	#acceptStart(byte: number): string | undefined {
		if (byte === carriageReturn || byte === lineFeed) {
			return this.#count();
		}

		const line = new StatusLine();
		this.#part = {type: 'status', line};
		this.#sectionLength = 1;
		return line.accept(byte);
	}

	/** Counts a byte of a head or trailer section; returns a reason if there are too many. */
	#count(): string | undefined {
		this.#sectionLength++;
		return this.#sectionLength > maxHeadBytes ? `a head of more than ${maxHeadBytes} bytes` : undefined;
	}

	#endHead(line: StatusLine, fields: FieldSection): string | undefined {
		this.#sectionLength = 0;
		this.#extensionLength = 0;
		this.#isPersistent = isPersistent(line, fields);
		const {status} = line;
		if (status === switchingProtocolsStatus) {
			this.#expectContent(Number.POSITIVE_INFINITY);
			return undefined;
		}

		const isInterim = status >= 100 && status < firstFinalStatus;
		return this.#beginBody(fields, isInterim || this.#method === 'HEAD' || bodilessStatuses.has(status), isInterim);
	}

	#beginBody(fields: FieldSection, isBodiless: boolean, isInterim: boolean): string | undefined {
		const codings = fields.listValues('transfer-encoding');
		const lengths = fields.listValues('content-length');
		if (lengths.length > 1) {
			return 'more than one Content-Length';
		}

		if (lengths.length > 0 && codings.length > 0) {
			return 'Content-Length beside Transfer-Encoding';
		}

		const length = Number(lengths[0] ?? 0);
		if (lengths[0] !== undefined && (!/^\d+$/v.test(lengths[0]) || !Number.isSafeInteger(length))) {
			return `Content-Length "${lengths[0]}"`;
		}

		// Parsers differ in whether chunks are read beside another coding.
		const tokens = listTokens(codings);
		const isChunked = tokens.includes('chunked');
		if (isChunked && tokens.length > 1) {
			return `Transfer-Encoding "${codings.join(', ')}"`;
		}

		if (isBodiless) {
			this.#part = isInterim ? start : this.#end();
		} else if (isChunked) {
			this.#part = {type: 'chunk line', line: new ChunkLine()};
		} else {
			this.#expectContent(lengths.length === 0 ? Number.POSITIVE_INFINITY : length);
		}

		return undefined;
	}

	#expectContent(length: number): void {
		this.#contentLeft = length;
		this.#part = length === 0 ? this.#end() : {type: 'content', isChunk: false};
	}

	#acceptChunkLine(line: ChunkLine, byte: number): string | undefined {
		const reason = line.accept(byte);
		if (reason !== undefined) {
			return reason;
		}

		this.#extensionLength += line.isInExtension ? 1 : 0;
		if (this.#extensionLength > maxHeadBytes) {
			return `chunk extensions of more than ${maxHeadBytes} bytes`;
		}

		if (line.isComplete) {
			this.#contentLeft = line.size;
			this.#part = line.size === 0 ? {type: 'trailers', fields: new FieldSection()} : {type: 'content', isChunk: true};
		}

		return undefined;
	}

	#acceptChunkEnd(next: 'carriage return' | 'line feed', byte: number): string | undefined {
		if (byte !== (next === 'carriage return' ? carriageReturn : lineFeed)) {
			return `${describeByte(byte)} after a chunk`;
		}

		this.#part = next === 'carriage return' ? {type: 'chunk end', next: 'line feed'} : {type: 'chunk line', line: new ChunkLine()};
		return undefined;
	}

	#endTrailers(fields: FieldSection): string | undefined {
		if (fields.listValues('content-length').length > 0 || fields.listValues('transfer-encoding').length > 0) {
			return 'a trailer that states the length of the body';
		}

		this.#part = this.#end();
		return undefined;
	}

	/** Returns what follows the end of a response. */
	#end(): Part {
		this.#sectionLength = 0;
		return this.#isPersistent ? start : {type: 'closed'};
	}
}
