/** Requests that crash the engines which run them, recognised when they come again. */

/** Distinct crashes after which a request is refused: two may be chance where engines fail in groups. */
const convictingCrashes = 3;

/** Milliseconds that a crash is held against a request. */
const memory = 60_000;

/** Fingerprints remembered. */
const mostSuspects = 2000;

/** An engine that broke down while a request ran there. */
export type Crash = {
	/** Equal for a request that is sent again. */
	readonly fingerprint: string;
	/** Equal for all who tell of the same crash. */
	readonly id: string;
};

/** Crashes by request, own and told by peers. */
export class Suspects {
	readonly #crashes = new Map<string, Map<string, number>>();

	/** Requests remembered. */
	get size(): number {
		return this.#crashes.size;
	}

	/**
	 * @param crash - Crash seen here or by a peer.
	 * @param now - Time in milliseconds.
	 * @returns Whether it was new.
	 */
	record({fingerprint, id}: Crash, now: number): boolean {
		const known = this.#crashes.get(fingerprint) ?? new Map<string, number>();
		const isNew = !known.has(id);
		known.set(id, now);
		this.#crashes.delete(fingerprint);
		this.#crashes.set(fingerprint, known);
		if (this.#crashes.size > mostSuspects) {
			const [oldest] = this.#crashes.keys();
			this.#crashes.delete(oldest!);
		}

		return isNew;
	}

	/**
	 * A request that was answered does not crash engines: what broke its connections was something else. Many callers may ask for
	 * the same, so that three lost answers within a minute would refuse all of them.
	 *
	 * @param fingerprint - Request.
	 * @returns Whether it was suspected.
	 */
	acquit(fingerprint: string): boolean {
		return this.#crashes.delete(fingerprint);
	}

	/**
	 * @param fingerprint - Request.
	 * @param now - Time in milliseconds.
	 * @returns Crashes that are held against it.
	 */
	crashes(fingerprint: string, now: number): number {
		let count = 0;
		for (const at of this.#crashes.get(fingerprint)?.values() ?? []) {
			count += now - at < memory ? 1 : 0;
		}

		return count;
	}

	/**
	 * @param fingerprint - Request.
	 * @param now - Time in milliseconds.
	 * @returns Whether it must not run again.
	 */
	isConvicted(fingerprint: string, now: number): boolean {
		return this.crashes(fingerprint, now) >= convictingCrashes;
	}
}
