/** Bounds the interim responses (1xx) that a server sends before its response. */
import {type ClientRequest} from 'node:http';

/**
 * Ends a request whose server sends too many of them: it may go on without end, and each one costs processor time.
 *
 * @param outgoing - Request that is being sent.
 * @param limit - Interim responses that are accepted.
 * @returns Whether more than that have arrived; to be called once the request has failed.
 */
export function limitInterimResponses(outgoing: ClientRequest, limit: number): () => boolean {
	let count = 0;
	outgoing.on('information', () => {
		count++;
		if (count === limit + 1) {
			outgoing.destroy(new Error(`more than ${limit} interim responses`));
		}
	});
	return () => count > limit;
}
