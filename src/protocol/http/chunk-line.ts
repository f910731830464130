/** Validates the line before a chunk, byte by byte: its size, and extensions, which are ignored (RFC 9112, section 7.1). */
import {
	backslash, carriageReturn, describeByte, equals, isTextByte, isTokenByte, lineFeed, parseHexDigit, quote, semicolon,
} from './bytes.js';

/** Digits of a size that a number holds exactly. */
const maxDigits = 13;

type State
	= | 'size'
		| 'extension name'
		| 'extension value'
		| 'quoted value'
		| 'quoted pair'
		| 'after quoted value'
		| 'line feed'
		| 'complete';

export class ChunkLine {
	#state: State = 'size';
	#size = 0;
	/** Bytes of the present part: digits of the size, or of the name or value of an extension. */
	#partLength = 0;

	get isComplete(): boolean {
		return this.#state === 'complete';
	}

	/** Whether the last byte was part of an extension. */
	get isInExtension(): boolean {
		return this.#state !== 'size' && this.#state !== 'line feed' && this.#state !== 'complete';
	}

	/** Bytes of the chunk; 0 if it is the last one. */
	get size(): number {
		return this.#size;
	}

	/**
	 * @param byte - Next byte.
	 * @returns Why it can't follow; undefined if it can.
	 */
	accept(byte: number): string | undefined {
		if (this.#acceptByte(byte)) {
			return undefined;
		}

		return this.#state === 'size' ? `${describeByte(byte)} in the size of a chunk` : `${describeByte(byte)} in the line of a chunk`;
	}

	#acceptByte(byte: number): boolean {
		switch (this.#state) {
			case 'size': {
				return this.#acceptSize(byte);
			}

			case 'extension name': {
				return (byte === equals && this.#begin('extension value')) || this.#acceptToken(byte);
			}

			case 'extension value': {
				return (byte === quote && this.#partLength === 0 && this.#enter('quoted value')) || this.#acceptToken(byte);
			}

			case 'quoted value': {
				return (byte === quote && this.#enter('after quoted value')) || (byte === backslash && this.#enter('quoted pair')) || isTextByte(byte);
			}

			case 'quoted pair': {
				return isTextByte(byte) && this.#enter('quoted value');
			}

			case 'after quoted value': {
				return this.#acceptEnd(byte);
			}

			case 'line feed':
			case 'complete': {
				return byte === lineFeed && this.#enter('complete');
			}
		}
	}

	#acceptSize(byte: number): boolean {
		const digit = parseHexDigit(byte);
		if (digit === undefined) {
			return this.#acceptEnd(byte);
		}

		this.#size = (this.#size * 16) + digit;
		this.#partLength++;
		return this.#partLength <= maxDigits;
	}

	#acceptToken(byte: number): boolean {
		if (!isTokenByte(byte)) {
			return this.#acceptEnd(byte);
		}

		this.#partLength++;
		return true;
	}

	/** Accepts what ends a part that isn't empty. */
	#acceptEnd(byte: number): boolean {
		if (this.#partLength === 0 && this.#state !== 'after quoted value') {
			return false;
		}

		return (byte === semicolon && this.#begin('extension name')) || (byte === carriageReturn && this.#enter('line feed'));
	}

	#begin(state: State): boolean {
		const isAllowed = state !== 'extension value' || this.#partLength > 0;
		this.#partLength = 0;
		return isAllowed && this.#enter(state);
	}

	#enter(state: State): boolean {
		this.#state = state;
		return true;
	}
}
