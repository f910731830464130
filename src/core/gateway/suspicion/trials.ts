/**
 * When a request that is refused may be sent all the same, to find out whether its conviction still holds: engines of another version may not
 * crash, and the conviction may have been an error. All hosts together send one such request at a time, in an order that each computes for
 * itself, so that no agreement is needed.
 */
import {dropOldest} from '../../utils/bounded.js';
import {hashText, mixHashes} from '../../utils/hashes.js';

/**
 * Time in milliseconds after the last crash until a conviction is put to the test: soon at first, as it may be an error that keeps sound
 * requests out, then rarely, as each test may cost an engine. By the number of crashes so far.
 */
const earlyTrialDelaysMs: ReadonlyMap<number, number> = new Map([[1, 10_000], [2, 10_000], [3, 10_000], [4, 60_000]]);

/** The same from then on; doubles with each failed test. */
const laterTrialDelayMs = 600_000;

/** Gap in milliseconds between two crashes from which on the later one was a failed test. */
const failedTrialGapMs = laterTrialDelayMs / 2;

const maxDoublings = 6;

/** Time in milliseconds for engines of another version to register at all hosts before one of them is tried. */
const newVersionDelayMs = 1000;

/** Time in milliseconds by which the next host in the order waits for the one before it. */
const turnMs = 1000;

/** Time in milliseconds after which the next trial may start though the result of the last one isn't known. */
const trialDurationMs = 20_000;

const maxTrials = 1024;

/** Which trial: a conviction, and the version of the engines. */
export type TrialKey = string;

export class Trials {
	/** Start of the last trial, by key; monotonic milliseconds. */
	readonly #started = new Map<TrialKey, number>();
	/** When engines of a version were first known, by service and version. */
	readonly #firstSeen = new Map<string, number>();

	/** Last trials, as pairs of key and start. */
	get all(): Iterable<readonly [TrialKey, number]> {
		return this.#started;
	}

	/**
	 * @param key - Trial.
	 * @param at - When it started.
	 * @returns Whether it is newer than the last one known.
	 */
	record(key: TrialKey, at: number): boolean {
		if ((this.#started.get(key) ?? Number.NEGATIVE_INFINITY) >= at) {
			return false;
		}

		this.#started.delete(key);
		this.#started.set(key, at);
		dropOldest(this.#started, maxTrials);
		return true;
	}

	/**
	 * @param scope - Service and version of engines that are registered.
	 * @param now - Time.
	 * @returns When they were first known here.
	 */
	noteVersion(scope: string, now: number): number {
		const known = this.#firstSeen.get(scope) ?? now;
		this.#firstSeen.set(scope, known);
		dropOldest(this.#firstSeen, maxTrials);
		return known;
	}

	/**
	 * @param key - Trial.
	 * @param due - When the first host may start it.
	 * @param turn - Number of hosts whose turn comes before that of this one.
	 * @param now - Time.
	 * @returns Whether this host may start it now.
	 */
	mayStart(key: TrialKey, due: number, turn: number, now: number): boolean {
		const last = this.#started.get(key) ?? Number.NEGATIVE_INFINITY;
		const next = Math.max(due, last + trialDurationMs);
		return now >= next + (turn * turnMs);
	}
}

/** This host among those of its failure domain, as far as it knows them. */
export type Place = {
	readonly self: string;
	readonly failureDomain: string;
	/** Hosts of the failure domain. */
	readonly hosts: readonly string[];
	readonly domainCount: number;
};

/**
 * @param key - Trial.
 * @param place - This host.
 * @returns Number of turns before that of this host: failure domains take turns, and so do their hosts.
 */
export function computeTurn(key: TrialKey, {self, failureDomain, hosts, domainCount}: Place): number {
	const hash = hashText(key);
	const own = mixHashes(hash, hashText(self));
	const before = hosts.filter(host => host !== self && mixHashes(hash, hashText(host)) < own).length;
	return (before * domainCount) + (mixHashes(hash, hashText(failureDomain)) % domainCount);
}

/**
 * @param crashes - Times of the crashes under a conviction, of engines of any version.
 * @returns When engines of the same version are tried again.
 */
export function computeTrialTime(crashes: readonly number[]): number {
	const times = crashes.toSorted((a, b) => a - b);
	const early = earlyTrialDelaysMs.get(times.length);
	if (early !== undefined) {
		return times.at(-1)! + early;
	}

	const failed = times.filter((time, index) => index > 0 && time - times[index - 1]! >= failedTrialGapMs).length;
	return times.at(-1)! + (laterTrialDelayMs * (2 ** Math.min(failed, maxDoublings)));
}

/**
 * @param lastCrash - Last crash of engines of other versions.
 * @param firstSeen - When engines of this version were first known.
 * @returns When they are tried.
 */
export function computeVersionTrialTime(lastCrash: number, firstSeen: number): number {
	return Math.max(lastCrash, firstSeen) + newVersionDelayMs;
}
