/** Tells whether a search for a way to an upstream can succeed, so that requests don't wait for searches that have just failed. */
import {findLinkGroup, type LinkedUpstream} from './links.js';

/** Time in milliseconds for which a failed search counts. */
const failureMemoryMs = 1000;

/** Upstreams of a group without a way after which none of its upstreams has one. */
const groupThreshold = 2;

export class Prospects {
	/** Times of failed searches, by group and upstream. */
	readonly #failedAt = new Map<string, Map<string, number>>();

	/**
	 * Records the result of a search.
	 *
	 * @param upstream - Upstream.
	 * @param isFound - Whether a way was found, or the upstream is gone.
	 * @param now - Time in milliseconds.
	 * @returns Whether it ends a time without a way to the group.
	 */
	record(upstream: LinkedUpstream, isFound: boolean, now: number): boolean {
		const group = findLinkGroup(upstream);
		if (isFound) {
			return this.#failedAt.delete(group);
		}

		const failed = this.#failedAt.get(group) ?? new Map<string, number>();
		for (const [id, at] of failed) {
			if (now - at >= failureMemoryMs) {
				failed.delete(id);
			}
		}

		failed.set(upstream.id, now);
		this.#failedAt.set(group, failed);
		return false;
	}

	/**
	 * @param upstream - Upstream.
	 * @param now - Time in milliseconds.
	 * @returns Whether a search would fail, as far as is known.
	 */
	isHopeless(upstream: LinkedUpstream, now: number): boolean {
		const failed = this.#failedAt.get(findLinkGroup(upstream));
		if (failed === undefined) {
			return false;
		}

		const isRecent = (at: number | undefined) => at !== undefined && now - at < failureMemoryMs;
		return isRecent(failed.get(upstream.id)) || [...failed.values()].filter(at => isRecent(at)).length >= groupThreshold;
	}
}
