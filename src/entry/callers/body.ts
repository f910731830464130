/** Reads request bodies up to a limit. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {raise} from '../../core/index.js';

/**
 * @param request - HTTP request.
 * @param limit - Largest body in bytes.
 * @returns The body.
 * @throws Failure `bodyTooLarge`.
 */
export async function readBody(request: IncomingMessage, limit: number): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		size += chunk.byteLength;
		if (size > limit) {
			return raise('bodyTooLarge', `The limit is ${limit} bytes.`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

const decoder = new TextDecoder();

/**
 * @param body - Body in UTF-8.
 * @returns Its text.
 */
export function decode(body: Uint8Array): string {
	return decoder.decode(body);
}
