/** Tracks the reachability of other failure domains from the attempts at their upstreams. */

/** Failed upstreams of one domain, without a success in between, after which the link is considered cut. */
const failedUpstreamThreshold = 2;

/**
 * Time in milliseconds for which failures count against a domain. If connections are reset at a cut link, each attempt fails within 5 ms,
 * and a request has two: without this memory, half of all prompts in a cut-off domain lose both attempts across the cut.
 */
const failureWindowMs = 1000;

/** Reachability of other failure domains. */
export class Reachability {
	/** Times of failures, by domain and upstream. */
	readonly #failures = new Map<string, Map<string, number>>();
	/** Times of the last successes, by domain. */
	readonly #lastSuccess = new Map<string, number>();

	/**
	 * @param domain - Failure domain with an upstream that responded.
	 * @param now - Time in milliseconds.
	 */
	recordSuccess(domain: string, now: number): void {
		this.#failures.delete(domain);
		this.#lastSuccess.set(domain, now);
	}

	/**
	 * @param domain - Failure domain whose hosts are unresponsive.
	 * @param now - Time in milliseconds.
	 * @returns Whether an upstream there responded recently, which means that the hosts have failed and not the link.
	 */
	hasLiveUpstreams(domain: string, now: number): boolean {
		return now - (this.#lastSuccess.get(domain) ?? Number.NEGATIVE_INFINITY) < failureWindowMs;
	}

	/**
	 * @param domain - Failure domain.
	 * @param upstream - Upstream whose connection broke, could not be made or timed out.
	 * @param now - Time in milliseconds.
	 */
	recordFailure(domain: string, upstream: string, now: number): void {
		const known = this.#failures.get(domain) ?? new Map<string, number>();
		known.set(upstream, now);
		this.#failures.set(domain, known);
	}

	/**
	 * @param upstream - Upstream that failed for another reason than its link.
	 */
	forgetFailure(upstream: string): void {
		for (const upstreams of this.#failures.values()) {
			upstreams.delete(upstream);
		}
	}

	/**
	 * @param now - Time in milliseconds.
	 * @returns Failure domains that are considered unreachable.
	 */
	findUnreachable(now: number): ReadonlySet<string> {
		const unreachable = new Set<string>();
		for (const [domain, upstreams] of this.#failures) {
			let recent = 0;
			for (const at of upstreams.values()) {
				recent += now - at < failureWindowMs ? 1 : 0;
			}

			if (recent >= failedUpstreamThreshold) {
				unreachable.add(domain);
			}
		}

		return unreachable;
	}
}
