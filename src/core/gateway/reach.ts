/** Which failure domains are out of reach, from attempts at their upstreams. */

/** Upstreams of one domain that must fail without a success between before the link is blamed, not them. */
const failedUpstreamThreshold = 2;

/**
 * Milliseconds for which failures speak against a domain. Where connections are reset at a cut each attempt fails within
 * 5 ms, and a request has two: without this both went across the cut for half of all prompts of a cut-off domain.
 */
const failureWindowMs = 1000;

/** What is seen of the links to failure domains. */
export class Reach {
	/** Times of failures, by domain and upstream. */
	readonly #failures = new Map<string, Map<string, number>>();
	/** Last signs of life, by domain. */
	readonly #lastSuccess = new Map<string, number>();

	/**
	 * @param domain - Failure domain an upstream of which gave a sign of life.
	 * @param now - Time in milliseconds.
	 */
	heard(domain: string, now: number): void {
		this.#failures.delete(domain);
		this.#lastSuccess.set(domain, now);
	}

	/**
	 * @param domain - Failure domain whose hosts are silent.
	 * @param now - Time in milliseconds.
	 * @returns Whether its upstreams answer all the same: then its hosts are gone, and not the link.
	 */
	isAlive(domain: string, now: number): boolean {
		return now - (this.#lastSuccess.get(domain) ?? Number.NEGATIVE_INFINITY) < failureWindowMs;
	}

	/**
	 * @param domain - Failure domain.
	 * @param upstream - Upstream whose connection broke, could not be made or fell silent.
	 * @param now - Time in milliseconds.
	 */
	missed(domain: string, upstream: string, now: number): void {
		const known = this.#failures.get(domain) ?? new Map<string, number>();
		known.set(upstream, now);
		this.#failures.set(domain, known);
	}

	/**
	 * @param now - Time in milliseconds.
	 * @returns Domains to leave alone for now.
	 */
	cutOff(now: number): ReadonlySet<string> {
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
