/** Keeps the paces of engines, shares them with peers, and logs their changes. */
import {
	configuredPace, isPace, Paces, type Pace, type PaceReport, type PaceSample,
} from '../../core/gateway/engines/paces.js';
import {ShortPrefills} from '../../core/gateway/engines/short-prefills.js';
import {type UpstreamProcess} from '../../core/gateway/types.js';
import {roundTo} from '../../core/utils/numbers.js';
import {type Log} from '../../entry/logs.js';

/** Shortest time between two log lines on bad reports, and between two on the same engine, in milliseconds. */
const lineIntervalMs = 1000;

export type EnginePacesOptions = {
	/** Name of this host. */
	readonly host: string;
	readonly log: Pick<Log, 'write'>;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Returns the registered process of an upstream, if there is one. */
	readonly findProcess: (upstream: string) => UpstreamProcess | undefined;
	/** Sends a report to all peers. */
	readonly publish: (report: PaceReport) => void;
};

/** Pace that was logged last. */
type LoggedPace = {
	readonly pace: Pace;
	readonly at: number;
};

export class EnginePaces {
	/** Prefills of short prompts that count together. */
	readonly shortPrefills = new ShortPrefills();
	readonly #options: EnginePacesOptions;
	readonly #paces = new Paces();
	/** Engines whose logged pace differs from the configured one. */
	readonly #logged = new Map<string, LoggedPace>();
	#ignoredCount = 0;
	#ignoredLineAt = Number.NEGATIVE_INFINITY;

	constructor(options: EnginePacesOptions) {
		this.#options = options;
	}

	/** Number of engines whose pace differs clearly from the configured one. */
	get unevenCount(): number {
		return this.#paces.findUneven(this.#options.now()).size;
	}

	/** Number of reports that were ignored because they can't be right. */
	get ignoredCount(): number {
		return this.#ignoredCount;
	}

	/**
	 * @param upstream - Engine.
	 * @param now - Monotonic time in milliseconds.
	 * @returns Its pace.
	 */
	get(upstream: string, now: number): Pace {
		return this.#paces.get(upstream, now);
	}

	/**
	 * @param sample - Sample of the engine's pace from a response to this host, if there is one.
	 */
	recordSample(sample: PaceSample | undefined): void {
		if (sample === undefined) {
			return;
		}

		const {upstream, phase, at} = sample;
		const process = this.#options.findProcess(upstream);
		if (process === undefined) {
			return;
		}

		this.#paces.recordSample(sample);
		const report = this.#paces.takeReport(upstream, phase, at);
		if (report !== undefined) {
			this.#options.publish({...report, host: this.#options.host, started: process.started});
		}

		this.#logChange(upstream, 'response');
	}

	/**
	 * Ignores a report on a process that isn't registered here: the engine may have restarted since.
	 *
	 * @param peer - Peer.
	 * @param report - Pace that the peer or another host has learned.
	 */
	applyPeerReport(peer: string, report: PaceReport): void {
		if (!isPace(report.pace)) {
			this.#recordIgnored(peer, report);
			return;
		}

		const process = this.#options.findProcess(report.upstream);
		if (report.host === this.#options.host || process === undefined || process.started !== report.started) {
			return;
		}

		this.#paces.recordReport(report);
		this.#logChange(report.upstream, peer);
	}

	/**
	 * @param upstream - Engine that has restarted or is gone.
	 */
	forget(upstream: string): void {
		this.#paces.forget(upstream);
		this.shortPrefills.forget(upstream);
		this.#logged.delete(upstream);
	}

	#recordIgnored(peer: string, {upstream, phase, pace}: PaceReport): void {
		this.#ignoredCount++;
		const now = this.#options.now();
		if (now - this.#ignoredLineAt >= lineIntervalMs) {
			this.#ignoredLineAt = now;
			this.#options.log.write({
				event: 'pace-ignored', upstream, phase, pace: String(pace), source: peer, ignored: this.#ignoredCount,
			});
		}
	}

	/** Logs a pace that differs from the configured one, and its end, at most once a second and engine. */
	#logChange(upstream: string, source: string): void {
		const now = this.#options.now();
		const pace = this.#paces.get(upstream, now);
		const logged = this.#logged.get(upstream);
		const isConfigured = pace === configuredPace;
		if ((isConfigured && logged === undefined) || (logged !== undefined && now - logged.at < lineIntervalMs)) {
			return;
		}

		if (isConfigured) {
			this.#logged.delete(upstream);
		} else {
			this.#logged.set(upstream, {pace, at: now});
		}

		const isSame = logged !== undefined && Math.abs(logged.pace.decode - pace.decode) < 0.1 && Math.abs(logged.pace.prefill - pace.prefill) < 0.1;
		if (!isSame) {
			this.#options.log.write({
				event: 'engine-pace', upstream, decode: roundTo(pace.decode, 2), prefill: roundTo(pace.prefill, 2), source,
			});
		}
	}
}
