/** Validates the first line of a response, byte by byte (RFC 9112, section 4). */
import {
	carriageReturn, describeByte, isDigit, isTextByte, lineFeed, space,
} from './bytes.js';

const version = 'HTTP/1.';
const spaceIndex = version.length + 1;
const statusEnd = spaceIndex + 4;

export class StatusLine {
	#length = 0;
	#minorVersion = 0;
	#status = 0;
	#state: 'text' | 'line feed' | 'complete' = 'text';

	get isComplete(): boolean {
		return this.#state === 'complete';
	}

	/** Minor version of HTTP/1. */
	get minorVersion(): number {
		return this.#minorVersion;
	}

	get status(): number {
		return this.#status;
	}

	/**
	 * @param byte - Next byte.
	 * @returns Why it can't follow; undefined if it can.
	 */
	accept(byte: number): string | undefined {
		if (this.#state === 'line feed') {
			this.#state = 'complete';
			return byte === lineFeed ? undefined : `${describeByte(byte)} after a carriage return`;
		}

		const index = this.#length;
		this.#length++;
		if (index >= statusEnd) {
			return this.#acceptReason(byte, index);
		}

		return this.#acceptStatus(byte, index) ? undefined : `${describeByte(byte)} in the status line`;
	}

	#acceptStatus(byte: number, index: number): boolean {
		if (index < version.length) {
			return byte === version.codePointAt(index);
		}

		if (index === spaceIndex) {
			return byte === space;
		}

		const digit = byte - 0x30;
		if (index < spaceIndex) {
			this.#minorVersion = digit;
			return digit === 0 || digit === 1;
		}

		this.#status = (this.#status * 10) + digit;
		return isDigit(byte);
	}

	/** The space before an empty reason phrase may be missing. */
	#acceptReason(byte: number, index: number): string | undefined {
		if (byte === carriageReturn) {
			this.#state = 'line feed';
			return undefined;
		}

		return (index === statusEnd ? byte === space : isTextByte(byte)) ? undefined : `${describeByte(byte)} in the status line`;
	}
}
