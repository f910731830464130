/** Crashes of upstreams, gathered from the attempts that ended with them at any host. */
import {type UpstreamProcess} from '../types.js';
import {formatScope, type Cause, type Scope} from './causes.js';

/** An attempt whose connection broke before its answer was complete. Times are on this host's monotonic clock, in milliseconds. */
export type CrashReport = UpstreamProcess & {
	/** Id of the attempt, unique over all hosts. */
	readonly attempt: string;
	readonly scope: Scope;
	readonly causes: readonly Cause[];
	/** Whether the caller had received a part of the answer: what crashes an engine as it begins to write can't have done that. */
	readonly hasBegun: boolean;
	readonly sent: number;
	readonly at: number;
};

/** One crash of an upstream, with all attempts that are known to have ended with it. */
export type Crash = UpstreamProcess & {
	readonly scope: Scope;
	/** Time of the first report. */
	readonly at: number;
	readonly reports: readonly CrashReport[];
};

/** Reports of one process within this time belong to the same crash: connections break at once, messages between hosts are late. */
const sameCrashMs = 1500;

/** Time for which a crash is evidence: rare requests crash an engine every few minutes. */
const crashRetentionMs = 600_000;

/** Most reports in memory. */
const maxReports = 1000;

/** Most attempts of one crash that are kept. */
const maxReportsPerCrash = 32;

type KnownCrash = Crash & {readonly reports: CrashReport[]};

function formatProcess({upstream, started}: UpstreamProcess): string {
	return `${upstream} ${started ?? ''}`;
}

function formatCharge(engines: Scope | string, cause: Cause): string {
	return `${typeof engines === 'string' ? engines : formatScope(engines)} ${cause}`;
}

export class Crashes {
	readonly #crashes = new Set<KnownCrash>();
	/** Times of the reports, by attempt; those of crashes that were disproved are kept as well, so that they aren't news again. */
	readonly #attempts = new Map<string, number>();
	/** Times at which processes were last known to be alive after a supposed crash. */
	readonly #survivals = new Map<string, number>();
	/** Last crash under each cause, by scope and cause. */
	readonly #lastUnder = new Map<string, number>();
	#changeCount = 0;

	/** Number of changes so far. */
	get changeCount(): number {
		return this.#changeCount;
	}

	/** Crashes that were not disproved, in the order in which they became known. */
	get all(): Iterable<Crash> {
		return this.#crashes;
	}

	/** Number of attempts that ended with these crashes. */
	get reportCount(): number {
		let count = 0;
		for (const {reports} of this.#crashes) {
			count += reports.length;
		}

		return count;
	}

	/**
	 * @param report - Attempt that ended with a crash.
	 * @returns Whether it is new and its crash was not disproved.
	 */
	record(report: CrashReport): boolean {
		if (this.#attempts.has(report.attempt)) {
			return false;
		}

		this.#attempts.set(report.attempt, report.at);
		if ((this.#survivals.get(formatProcess(report)) ?? Number.NEGATIVE_INFINITY) >= report.at) {
			return false;
		}

		this.#dropSurvived(report);
		const known = this.#find(report);
		// What was sent to an upstream that had crashed has not caused it, though something in between may have accepted the connection.
		if (known !== undefined && report.sent > known.at) {
			return false;
		}

		if (known === undefined) {
			const {upstream, started, scope, at} = report;
			this.#crashes.add({
				upstream, started, scope, at, reports: [report],
			});
		} else if (known.reports.length < maxReportsPerCrash) {
			known.reports.push(report);
		} else {
			return false;
		}

		for (const cause of report.causes) {
			for (const key of [formatCharge(report.scope, cause), formatCharge(report.scope.service, cause)]) {
				this.#lastUnder.set(key, Math.max(this.#lastUnder.get(key) ?? report.at, report.at));
			}
		}

		this.#changeCount++;
		return true;
	}

	/**
	 * @param engines - Engines of one version, or the name of their service for all versions.
	 * @param cause - Cause.
	 * @returns Time of the last crash under the cause, even if that was disproved; undefined if there was none.
	 */
	findLastUnder(engines: Scope | string, cause: Cause): number | undefined {
		return this.#lastUnder.get(formatCharge(engines, cause));
	}

	/**
	 * Drops the crashes of a process that turns out to have survived them.
	 *
	 * @param process - Process.
	 * @param at - Time at which it was alive.
	 * @returns Whether that is new.
	 */
	disprove(process: UpstreamProcess, at: number): boolean {
		const key = formatProcess(process);
		let isNew = false;
		for (const crash of this.#crashes) {
			if (crash.at <= at && formatProcess(crash) === key) {
				this.#crashes.delete(crash);
				this.#changeCount++;
				isNew = true;
			}
		}

		const previous = this.#survivals.get(key) ?? Number.NEGATIVE_INFINITY;
		this.#survivals.set(key, Math.max(previous, at));
		return isNew;
	}

	/**
	 * @param upstream - Id of an upstream.
	 * @param since - Time.
	 * @returns Its last crash since then, if there was one.
	 */
	findSince(upstream: string, since: number): Crash | undefined {
		let last: Crash | undefined;
		for (const crash of this.#crashes) {
			last = crash.upstream === upstream && crash.at >= since ? crash : last;
		}

		return last;
	}

	/**
	 * Drops what is too old, and the oldest reports if there are too many.
	 *
	 * @param now - Time.
	 * @param isNeeded - Returns whether a crash is the evidence of a conviction, which outlasts the others.
	 */
	prune(now: number, isNeeded: (crash: Crash) => boolean): void {
		for (const crash of this.#crashes) {
			if (now - crash.at >= crashRetentionMs && !isNeeded(crash)) {
				this.#delete(crash);
			}
		}

		let excess = this.reportCount - maxReports;
		for (const isKeeping of [isNeeded, () => false]) {
			for (const crash of this.#crashes) {
				if (excess > 0 && !isKeeping(crash)) {
					excess -= crash.reports.length;
					this.#delete(crash);
				}
			}
		}

		for (const times of [this.#attempts, this.#survivals, this.#lastUnder]) {
			for (const [key, at] of times) {
				if (now - at >= crashRetentionMs) {
					times.delete(key);
				}
			}
		}
	}

	/** A process that has a start of its own crashes once: one that took a later request has survived what came before. */
	#dropSurvived({upstream, started, sent}: CrashReport): void {
		if (started !== undefined) {
			this.disprove({upstream, started}, sent - sameCrashMs);
		}
	}

	#find(report: CrashReport): KnownCrash | undefined {
		const process = formatProcess(report);
		const scope = formatScope(report.scope);
		for (const crash of this.#crashes) {
			if (formatProcess(crash) === process && formatScope(crash.scope) === scope && Math.abs(crash.at - report.at) < sameCrashMs) {
				return crash;
			}
		}

		return undefined;
	}

	#delete(crash: KnownCrash): void {
		this.#crashes.delete(crash);
		this.#changeCount++;
	}
}
