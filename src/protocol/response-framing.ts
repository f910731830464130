/** Finds what marks the end of an HTTP response. */
import {type IncomingHttpHeaders} from 'node:http';

/** What marks the end of a response: its head, a length, the last chunk, or the end of its connection. */
export type Framing = 'head' | 'length' | 'chunks' | 'connection';

/** Statuses whose responses have no body. */
export const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * @param method - Method of the request.
 * @param status - Status of the response.
 * @param headers - Headers of the response.
 * @returns What marks the end of the response (RFC 9112, section 6.3).
 */
export function findFraming(method: string, status: number, headers: IncomingHttpHeaders): Framing {
	if (method === 'HEAD' || bodilessStatuses.has(status)) {
		return 'head';
	}

	const coding = headers['transfer-encoding']?.split(',').at(-1)?.trim().toLowerCase();
	if (coding !== undefined) {
		return coding === 'chunked' ? 'chunks' : 'connection';
	}

	return headers['content-length'] === undefined ? 'connection' : 'length';
}
