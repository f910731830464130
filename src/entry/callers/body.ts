/** Reads request bodies up to a size limit. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {raise} from '../../core/index.js';

/**
 * @param maxBytes - Maximum size in bytes.
 * @throws Failure `bodyTooLarge`.
 */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		size += chunk.byteLength;
		if (size > maxBytes) {
			return raise('bodyTooLarge', `The limit is ${maxBytes} bytes.`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

const textDecoder = new TextDecoder();

/**
 * @param body - Text in UTF-8.
 */
export function decodeText(body: Uint8Array): string {
	return textDecoder.decode(body);
}
