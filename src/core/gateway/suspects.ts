/**
 * Requests that crash the engines which run them, recognised when they come again. A crash is told once and cleared once, by its
 * id, so that hosts which pass on what is news to them end, in whatever order news of the two arrive.
 */

/** Distinct crashes after which a request is refused: two may be chance where engines fail in groups. */
const convictionThreshold = 3;

/** Milliseconds that a crash is held against a request. */
const crashRetentionMs = 60_000;

/** Fingerprints remembered. */
const maxSuspects = 2000;

/** An engine that broke down while a request ran there. */
export type Crash = {
	/** Equal for a request that is sent again. */
	readonly fingerprint: string;
	/** Equal for all who tell of the same crash. */
	readonly id: string;
	readonly upstream: string;
	/** Start of the upstream's process, where it tells. */
	readonly started?: number;
};

type CrashRecord = {
	readonly crash: Crash;
	readonly at: number;
	isCleared: boolean;
};

/** Crashes by request, own and told by peers. */
export class Suspects {
	readonly #records = new Map<string, Map<string, CrashRecord>>();

	/** Requests remembered. */
	get size(): number {
		return this.#records.size;
	}

	/**
	 * @param crash - Crash seen here or by a peer.
	 * @param now - Time in milliseconds.
	 * @returns Whether it was new.
	 */
	record(crash: Crash, now: number): boolean {
		const known = this.#recentCrashes(crash.fingerprint, now);
		if (known.has(crash.id)) {
			return false;
		}

		known.set(crash.id, {crash, at: now, isCleared: false});
		return true;
	}

	/**
	 * A request that was answered does not crash engines: what broke its connections was something else. Many callers may ask for
	 * the same, so that three lost answers within a minute would refuse all of them.
	 *
	 * @param fingerprint - Request.
	 * @returns Crashes that were held against it until now.
	 */
	acquit(fingerprint: string): readonly Crash[] {
		return this.review(fingerprint, () => true);
	}

	/**
	 * @param crashes - Crashes that a peer has cleared; those not heard of yet need not be held against the request later.
	 * @param now - Time in milliseconds.
	 * @returns Whether any of them was not cleared here.
	 */
	clear(crashes: readonly Crash[], now: number): boolean {
		let hasChanged = false;
		for (const crash of crashes) {
			this.record(crash, now);
			const record = this.#records.get(crash.fingerprint)!.get(crash.id)!;
			hasChanged ||= !record.isCleared;
			record.isCleared = true;
		}

		return hasChanged;
	}

	/**
	 * @param fingerprint - Request.
	 * @param hasSurvived - Whether an upstream that is said to have crashed at a time runs on as it did.
	 * @returns Crashes that were none after all.
	 */
	review(fingerprint: string, hasSurvived: (crash: Crash, at: number) => boolean): readonly Crash[] {
		const cleared: Crash[] = [];
		for (const record of this.#records.get(fingerprint)?.values() ?? []) {
			if (!record.isCleared && hasSurvived(record.crash, record.at)) {
				record.isCleared = true;
				cleared.push(record.crash);
			}
		}

		return cleared;
	}

	/**
	 * @param fingerprint - Request.
	 * @param now - Time in milliseconds.
	 * @returns Crashes that are held against it.
	 */
	crashes(fingerprint: string, now: number): number {
		let count = 0;
		for (const {at, isCleared} of this.#records.get(fingerprint)?.values() ?? []) {
			count += !isCleared && now - at < crashRetentionMs ? 1 : 0;
		}

		return count;
	}

	/**
	 * @param fingerprint - Request.
	 * @param now - Time in milliseconds.
	 * @returns Whether it must not run again.
	 */
	isConvicted(fingerprint: string, now: number): boolean {
		return this.crashes(fingerprint, now) >= convictionThreshold;
	}

	/** What is remembered of a request, the most lately suspected last; what is too old to count is dropped. */
	#recentCrashes(fingerprint: string, now: number): Map<string, CrashRecord> {
		const known = this.#records.get(fingerprint) ?? new Map<string, CrashRecord>();
		for (const [id, {at}] of known) {
			if (now - at >= crashRetentionMs) {
				known.delete(id);
			}
		}

		this.#records.delete(fingerprint);
		this.#records.set(fingerprint, known);
		if (this.#records.size > maxSuspects) {
			const [oldest] = this.#records.keys();
			this.#records.delete(oldest!);
		}

		return known;
	}
}
