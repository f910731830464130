/** Collects the crashes that this host observes, and separates real ones from broken links. */
import {type CrashReport} from '../../core/gateway/suspicion/crashes.js';

/** Reports are collected for this time, in milliseconds, before they are sent, and for longer while the links of this host are in doubt. */
const collectingMs = 10;
const doubtfulCollectingMs = 150;

/** Upstreams whose connections break within that time from which on the links of this host are to blame. */
const brokenLinkUpstreams = 4;

/** An attempt of this host that ended with a crash. */
export type OwnReport = {
	readonly report: CrashReport;
	readonly fingerprint: string;
};

export type CrashReportsOptions = {
	/** Whether some links of this host are cut, so that connections may have broken for that reason. */
	readonly areLinksInDoubt: () => boolean;
	/** Whether another host has reported that an upstream crashed. */
	readonly isReportedElsewhere: (upstream: string) => boolean;
	/** Called with crashes to report to other hosts. */
	readonly onCrashes: (reports: readonly OwnReport[]) => void;
	/** Called with reports of upstreams that probably run on. */
	readonly onBrokenLinks: (reports: readonly OwnReport[]) => void;
};

export class CrashReports implements Disposable {
	readonly #options: CrashReportsOptions;
	#collected: OwnReport[] = [];
	#timer: NodeJS.Timeout | undefined;
	#waited = 0;

	constructor(options: CrashReportsOptions) {
		this.#options = options;
	}

	/**
	 * @param report - Attempt whose connection has broken.
	 */
	add(report: OwnReport): void {
		this.#collected.push(report);
		this.#wait();
	}

	/**
	 * Drops reports that haven't been sent.
	 *
	 * @param isUnlinked - Returns whether this host has lost its link to an upstream.
	 * @returns The dropped reports.
	 */
	drop(isUnlinked: (upstream: string) => boolean): readonly OwnReport[] {
		const dropped = this.#collected.filter(({report}) => isUnlinked(report.upstream));
		this.#collected = this.#collected.filter(({report}) => !isUnlinked(report.upstream));
		return dropped;
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
	}

	#wait(): void {
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			this.#waited += collectingMs;
			if (this.#waited < doubtfulCollectingMs && this.#options.areLinksInDoubt()) {
				this.#wait();
			} else {
				this.#waited = 0;
				this.#release();
			}
		}, collectingMs);
	}

	#release(): void {
		const {isReportedElsewhere, onBrokenLinks, onCrashes} = this.#options;
		const reports = this.#collected;
		this.#collected = [];
		// What another host has seen as well isn't due to the links of this one.
		const unshared = reports.filter(({report}) => !isReportedElsewhere(report.upstream));
		const isLinkBroken = new Set(unshared.map(({report}) => report.upstream)).size >= brokenLinkUpstreams;
		const crashes = isLinkBroken ? reports.filter(each => !unshared.includes(each)) : reports;
		if (isLinkBroken) {
			onBrokenLinks(unshared);
		}

		if (crashes.length > 0) {
			onCrashes(crashes);
		}
	}
}
