/** Which failure domains have fallen silent: a process that ends closes its connections, a cut says nothing. */

/**
 * Milliseconds without a word from any host of a failure domain after which the domain is taken to be cut off, where its
 * last link was not closed. Two lost heartbeats and some.
 */
const domainSilence = 1300;

/** Failure domains that a relay of this host's domain hears nothing of. */
type Report = {
	readonly domains: readonly string[];
	readonly at: number;
};

/** Times are monotonic, in milliseconds. */
export class Silence {
	readonly #own: string;
	/** Last word from a host of each failure domain; absent where the last link was closed by its other end. */
	readonly #heardAt = new Map<string, number>();
	#report: Report | undefined;

	/**
	 * @param own - Failure domain of this host, which is never silent to it.
	 */
	constructor(own: string) {
		this.#own = own;
	}

	/**
	 * @param domain - Failure domain a host of which said something.
	 * @param now - Time.
	 */
	heard(domain: string, now: number): void {
		this.#heardAt.set(domain, now);
	}

	/**
	 * @param domain - Failure domain whose last link was closed.
	 */
	closed(domain: string): void {
		this.#heardAt.delete(domain);
	}

	/**
	 * @param domains - Failure domains that a relay of the own domain hears nothing of.
	 * @param now - Time.
	 */
	report(domains: readonly string[], now: number): void {
		this.#report = {domains, at: now};
	}

	/**
	 * @param now - Time.
	 * @returns Failure domains whose every host that was linked with this one has fallen silent.
	 */
	observed(now: number): readonly string[] {
		return [...this.#heardAt]
			.filter(([domain, at]) => now - at > domainSilence && domain !== this.#own)
			.map(([domain]) => domain);
	}

	/**
	 * @param now - Time.
	 * @returns Failure domains that a relay has lately called silent.
	 */
	reported(now: number): readonly string[] {
		return this.#report !== undefined && now - this.#report.at < domainSilence ? this.#report.domains : [];
	}
}
