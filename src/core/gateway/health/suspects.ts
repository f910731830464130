/**
 * Detects poison requests, which crash the engines that run them. A suspicion is one crash that is attributed to a request; enough of
 * them convict it, so that it is refused; an acquittal clears them. Hosts forward only changes to their peers, and each crash is recorded
 * once and cleared once by its id, so forwarding ends in whatever order the messages arrive.
 */

/** Distinct crashes after which a request is refused: two may be a coincidence if engines fail in groups. */
const convictionThreshold = 3;

/** Time in milliseconds for which a crash counts against a request. */
const crashRetentionMs = 60_000;

/** Maximum number of fingerprints in memory. */
const maxSuspects = 2000;

/** Crash of an engine while it ran a request. */
export type Crash = {
	/** Same for every repetition of a request. */
	readonly fingerprint: string;
	/** Same at all hosts that report the crash. */
	readonly id: string;
	readonly upstream: string;
	/** Start of the upstream's process, if the upstream reports it. */
	readonly started?: number;
};

type CrashRecord = {
	readonly crash: Crash;
	readonly at: number;
	isCleared: boolean;
};

/** Crashes by request, observed here or reported by peers. */
export class Suspects {
	readonly #records = new Map<string, Map<string, CrashRecord>>();

	/** Number of fingerprints in memory. */
	get size(): number {
		return this.#records.size;
	}

	/**
	 * @param crash - Crash that this host or a peer observed.
	 * @param now - Time in milliseconds.
	 * @returns Whether it is new here.
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
	 * Clears all crashes of a request that was answered: something else broke its connections. Many callers may send the same request,
	 * and without this three lost answers within a minute would refuse all of them.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 * @returns Crashes that were cleared.
	 */
	acquit(fingerprint: string): readonly Crash[] {
		return this.clearSurvived(fingerprint, () => true);
	}

	/**
	 * @param crashes - Crashes that a peer has cleared. Unknown ones are recorded as cleared, in case their report arrives later.
	 * @param now - Time in milliseconds.
	 * @returns Whether any of them was not yet cleared here.
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
	 * Clears crashes that did not happen.
	 *
	 * @param fingerprint - Fingerprint of the request.
	 * @param hasSurvived - Returns whether the upstream of a crash is still the same process, given the time of its record.
	 * @returns Crashes that were cleared.
	 */
	clearSurvived(fingerprint: string, hasSurvived: (crash: Crash, at: number) => boolean): readonly Crash[] {
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
	 * @param fingerprint - Fingerprint of the request.
	 * @param now - Time in milliseconds.
	 * @returns Number of crashes that count against it.
	 */
	countCrashes(fingerprint: string, now: number): number {
		let count = 0;
		for (const {at, isCleared} of this.#records.get(fingerprint)?.values() ?? []) {
			count += !isCleared && now - at < crashRetentionMs ? 1 : 0;
		}

		return count;
	}

	/**
	 * @param fingerprint - Fingerprint of the request.
	 * @param now - Time in milliseconds.
	 * @returns Whether the request must not run again.
	 */
	isConvicted(fingerprint: string, now: number): boolean {
		return this.countCrashes(fingerprint, now) >= convictionThreshold;
	}

	/** Returns the crashes of a request without expired ones, and makes the request the most recent one. Evicts the oldest if there are too many. */
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
