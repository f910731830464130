/** Reads what is left of a response that is of no use, so that its connection can be used again. */
import {type IncomingMessage} from 'node:http';

/** A longer rest costs more than a new connection; one that takes longer may have no end. */
const maxBytes = 65_536;
const timeoutMs = 1000;

/**
 * Reads the rest of a body, and closes its connection if there is too much of it or it doesn't end.
 *
 * @param body - Body of a response.
 */
export function discardBody(body: IncomingMessage): void {
	let length = 0;
	const timer = setTimeout(() => {
		body.destroy();
	}, timeoutMs);
	body.once('close', () => {
		clearTimeout(timer);
	});
	body.on('error', () => {
		// The body is of no use, whole or not; `close` follows.
	});
	body.on('data', (chunk: Uint8Array) => {
		length += chunk.length;
		if (length > maxBytes) {
			body.destroy();
		}
	});
}
