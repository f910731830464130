/** Collects the crashes that this host observes, and separates real ones from broken links. */
import {type CrashReport} from '../../core/gateway/suspicion/crashes.js';

/** Reports are collected for this time, in milliseconds, before they are sent. */
const collectingMs = 10;

/** Upstreams whose connections break within that time from which on the links of this host are to blame. */
const brokenLinkUpstreams = 4;

/** An attempt of this host that ended with a crash. */
export type OwnReport = {
	readonly report: CrashReport;
	readonly fingerprint: string;
};

export type CrashReportsOptions = {
	/** Called with crashes to report to other hosts. */
	readonly onCrashes: (reports: readonly OwnReport[]) => void;
	/** Called with reports of upstreams that probably run on. */
	readonly onBrokenLinks: (reports: readonly OwnReport[]) => void;
};

export class CrashReports implements Disposable {
	readonly #options: CrashReportsOptions;
	#collected: OwnReport[] = [];
	#timer: NodeJS.Timeout | undefined;

	constructor(options: CrashReportsOptions) {
		this.#options = options;
	}

	/**
	 * @param report - Attempt whose connection has broken.
	 */
	add(report: OwnReport): void {
		this.#collected.push(report);
		this.#timer ??= setTimeout(() => {
			this.#release();
		}, collectingMs);
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
	}

	#release(): void {
		this.#timer = undefined;
		const reports = this.#collected;
		this.#collected = [];
		const upstreams = new Set(reports.map(({report}) => report.upstream));
		if (upstreams.size >= brokenLinkUpstreams) {
			this.#options.onBrokenLinks(reports);
		} else {
			this.#options.onCrashes(reports);
		}
	}
}
