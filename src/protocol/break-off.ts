/** Ends responses of which a part is missing. */
import {type ServerResponse} from 'node:http';

/**
 * Closes the connection of a response so that its caller sees that the response is incomplete.
 *
 * @param outgoing - Response to a caller.
 */
export function breakOff(outgoing: ServerResponse): void {
	// A caller with HTTP/1.0 gets no chunks: a proper end of the connection would complete the response.
	if (outgoing.headersSent && !outgoing.chunkedEncoding) {
		outgoing.socket?.resetAndDestroy();
	}

	outgoing.destroy();
}
