/** Frames between hosts: a length of four bytes, big-endian, then so many bytes. */
import {Buffer} from 'node:buffer';
import {raise} from '../core/index.js';

const lengthBytes = 4;

/**
 * @param body - Bytes of one message.
 * @returns Its frame.
 */
export function frame(body: Uint8Array): Uint8Array {
	const bytes = new Uint8Array(lengthBytes + body.length);
	new DataView(bytes.buffer).setUint32(0, body.length);
	bytes.set(body, lengthBytes);
	return bytes;
}

/** Cuts a byte stream into messages; holds at most one incomplete frame. */
export class FrameReader<T> {
	readonly #decode: (body: Uint8Array) => T;
	readonly #longest: number;
	#chunks: Uint8Array[] = [];
	#held = 0;

	/**
	 * @param decode - Reads one message.
	 * @param longest - Bytes that a message may have.
	 */
	constructor(decode: (body: Uint8Array) => T, longest: number) {
		this.#decode = decode;
		this.#longest = longest;
	}

	/**
	 * @param chunk - Next bytes of the stream.
	 * @returns The messages that are complete now, in order.
	 * @throws Failure `badPeerMessage` when the stream cannot be read on.
	 */
	push(chunk: Uint8Array): readonly T[] {
		this.#chunks.push(chunk);
		this.#held += chunk.length;
		const messages: T[] = [];
		for (let body = this.#take(); body !== undefined; body = this.#take()) {
			messages.push(this.#decode(body));
		}

		return messages;
	}

	#take(): Uint8Array | undefined {
		if (this.#held < lengthBytes) {
			return undefined;
		}

		const length = this.#length();
		if (length > this.#longest) {
			raise('badPeerMessage', `a message of ${length} bytes`);
		}

		if (this.#held < lengthBytes + length) {
			return undefined;
		}

		const bytes = this.#joined();
		const rest = bytes.subarray(lengthBytes + length);
		this.#chunks = rest.length === 0 ? [] : [rest];
		this.#held = rest.length;
		return bytes.subarray(lengthBytes, lengthBytes + length);
	}

	#length(): number {
		if (this.#chunks[0]!.length < lengthBytes) {
			this.#chunks = [this.#joined()];
		}

		const {buffer, byteOffset} = this.#chunks[0]!;
		return new DataView(buffer, byteOffset, lengthBytes).getUint32(0);
	}

	#joined(): Uint8Array {
		return this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
	}
}
