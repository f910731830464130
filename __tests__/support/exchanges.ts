/** Requests of callers to one site, with the answers that they got. */
import {type Answer} from '../../bench/gateway/caller-requests.js';
import {type Site} from '../../bench/gateway/site.js';

export type Exchange = {
	readonly id: string;
	/** Undefined if the connection ended without an answer. */
	readonly answer: Answer | undefined;
};

let requestCount = 0;

/**
 * Sends requests at once, each with a path of its own: one that seems to crash upstreams is kept apart.
 *
 * @param site - Site whose first host gets them.
 * @param count - Number of requests.
 * @param prefix - Prefix of their paths, which end with their ids.
 * @param headers - Headers beside the usual ones.
 * @returns What became of each.
 */
export async function askAll(site: Site, count: number, prefix: string, headers?: Readonly<Record<string, string>>): Promise<readonly Exchange[]> {
	return Promise.all(Array.from({length: count}, async (): Promise<Exchange> => {
		requestCount++;
		const id = `r${requestCount}`;
		try {
			return {id, answer: await site.ask({path: prefix + id, id, headers})};
		} catch {
			return {id, answer: undefined};
		}
	}));
}
