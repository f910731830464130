/** Length-prefixed frames: a big-endian length of four bytes, followed by a body of that length. */
import {Buffer} from 'node:buffer';
import {raise} from '../core/index.js';

const lengthPrefixBytes = 4;

/**
 * Creates a frame.
 *
 * @param body - Encoded message.
 * @returns The body with its length prefix.
 */
export function createFrame(body: Uint8Array): Uint8Array {
	const bytes = new Uint8Array(lengthPrefixBytes + body.length);
	new DataView(bytes.buffer).setUint32(0, body.length);
	bytes.set(body, lengthPrefixBytes);
	return bytes;
}

/** Splits a byte stream into messages. Between calls it buffers at most one incomplete frame. */
export class FrameReader<T> {
	readonly #decode: (body: Uint8Array) => T;
	#maxBodyBytes: number;
	#chunks: Uint8Array[] = [];
	#bufferedBytes = 0;

	/**
	 * @param decode - Decodes the body of one frame.
	 * @param maxBodyBytes - Maximum length of a body in bytes.
	 */
	constructor(decode: (body: Uint8Array) => T, maxBodyBytes: number) {
		this.#decode = decode;
		this.#maxBodyBytes = maxBodyBytes;
	}

	/**
	 * @param maxBodyBytes - Maximum length in bytes of the bodies that are read next.
	 */
	setLimit(maxBodyBytes: number): void {
		this.#maxBodyBytes = maxBodyBytes;
	}

	/**
	 * Adds the next bytes of the stream.
	 *
	 * @param chunk - Next bytes of the stream.
	 * @returns The messages that this chunk completes, in order.
	 * @throws Failure `badPeerMessage` for a body that is too long, and whatever `decode` throws. The stream cannot be read further.
	 */
	push(chunk: Uint8Array): readonly T[] {
		return [...this.read(chunk)];
	}

	/**
	 * Like {@link push}, but decodes each message only after the previous one was handled, which may have changed the maximum length.
	 *
	 * @param chunk - Next bytes of the stream.
	 * @yields The messages that this chunk completes, in order.
	 * @throws As `push` does.
	 */
	* read(chunk: Uint8Array): Generator<T, void> {
		this.#chunks.push(chunk);
		this.#bufferedBytes += chunk.length;
		for (let body = this.#readBody(); body !== undefined; body = this.#readBody()) {
			yield this.#decode(body);
		}
	}

	#readBody(): Uint8Array | undefined {
		if (this.#bufferedBytes < lengthPrefixBytes) {
			return undefined;
		}

		const length = this.#readLength();
		if (length > this.#maxBodyBytes) {
			raise('badPeerMessage', `a message of ${length} bytes is too large`);
		}

		if (this.#bufferedBytes < lengthPrefixBytes + length) {
			return undefined;
		}

		const bytes = this.#joinChunks();
		const rest = bytes.subarray(lengthPrefixBytes + length);
		this.#chunks = rest.length === 0 ? [] : [rest];
		this.#bufferedBytes = rest.length;
		return bytes.subarray(lengthPrefixBytes, lengthPrefixBytes + length);
	}

	#readLength(): number {
		if (this.#chunks[0]!.length < lengthPrefixBytes) {
			this.#chunks = [this.#joinChunks()];
		}

		const {buffer, byteOffset} = this.#chunks[0]!;
		return new DataView(buffer, byteOffset, lengthPrefixBytes).getUint32(0);
	}

	#joinChunks(): Uint8Array {
		return this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
	}
}
