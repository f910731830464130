/**
 * Detects failure domains that are cut off by a network partition. A process that ends closes its connections; across a partition
 * nothing arrives at all.
 */

/** Time without a message from any host of a failure domain after which it counts as cut off: two lost heartbeats and a margin. */
const domainTimeoutMs = 1300;

/** Failure domains from which a relay of this host's domain receives nothing. */
type SilenceReport = {
	readonly domains: readonly string[];
	readonly at: number;
};

/** All times are monotonic, in milliseconds. */
export class SilenceDetector {
	readonly #ownDomain: string;
	/** Time of the last message from each failure domain; absent after the last link to the domain was closed for a reason other than silence. */
	readonly #lastMessageAt = new Map<string, number>();
	#report: SilenceReport | undefined;

	/**
	 * @param ownDomain - Failure domain of this host, which never counts as silent.
	 */
	constructor(ownDomain: string) {
		this.#ownDomain = ownDomain;
	}

	/**
	 * @param domain - Failure domain of the sender.
	 * @param now - Time.
	 */
	recordMessage(domain: string, now: number): void {
		this.#lastMessageAt.set(domain, now);
	}

	/**
	 * Stops watching a domain whose last link was closed for a reason other than silence.
	 *
	 * @param domain - Failure domain.
	 */
	recordLastClose(domain: string): void {
		this.#lastMessageAt.delete(domain);
	}

	/**
	 * @param domains - Failure domains from which a relay of this host's domain receives nothing.
	 * @param now - Time.
	 */
	recordReport(domains: readonly string[], now: number): void {
		this.#report = {domains, at: now};
	}

	/**
	 * @param now - Time.
	 * @returns Failure domains whose linked hosts have all been silent for the timeout.
	 */
	getObserved(now: number): readonly string[] {
		return [...this.#lastMessageAt]
			.filter(([domain, at]) => now - at > domainTimeoutMs && domain !== this.#ownDomain)
			.map(([domain]) => domain);
	}

	/**
	 * @param now - Time.
	 * @returns Failure domains that a relay has recently reported silent.
	 */
	getReported(now: number): readonly string[] {
		return this.#report !== undefined && now - this.#report.at < domainTimeoutMs ? this.#report.domains : [];
	}
}
