/** Collects bytes that arrive in pieces of any size. */
import {Buffer} from 'node:buffer';

/**
 * Bytes in one block that doubles as it fills up, so that collecting costs a constant number of copies of each byte, and many small
 * pieces take no more memory than a few large ones.
 */
export class ByteBuffer {
	#block: Buffer;
	#length = 0;

	/**
	 * @param expected - Bytes that are expected, for which no copies are made.
	 */
	constructor(expected = 0) {
		this.#block = Buffer.allocUnsafe(expected);
	}

	/** Number of bytes. */
	get length(): number {
		return this.#length;
	}

	/** The bytes; valid until the next change. */
	get bytes(): Buffer {
		return this.#block.subarray(0, this.#length);
	}

	/**
	 * @param piece - Bytes to copy to the end.
	 */
	append(piece: Uint8Array): void {
		const length = this.#length + piece.length;
		if (length > this.#block.length) {
			const block = Buffer.allocUnsafe(Math.max(length, this.#block.length * 2));
			this.#block.copy(block, 0, 0, this.#length);
			this.#block = block;
		}

		this.#block.set(piece, this.#length);
		this.#length = length;
	}

	/**
	 * Empties the buffer.
	 *
	 * @returns What it held; the caller owns it.
	 */
	take(): Buffer {
		const {bytes} = this;
		this.#block = Buffer.alloc(0);
		this.#length = 0;
		return bytes;
	}
}
