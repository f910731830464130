/** Tracks the health of upstreams, the reachability of failure domains and suspected requests from attempts and peers; logs each change. */
import {absenceToVerdict, type Absence} from '../../core/gateway/health/absences.js';
import {Health, type Verdict} from '../../core/gateway/health/health.js';
import {Reachability} from '../../core/gateway/health/reachability.js';
import {Suspects, type Crash} from '../../core/gateway/health/suspects.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {roundTo} from '../../core/utils/numbers.js';
import {type Log} from '../../entry/logs.js';

export type ReputationOptions = {
	readonly failureDomain: string;
	readonly log: Pick<Log, 'write'>;
	/** Returns the failure domains whose hosts are all silent. */
	readonly silentDomains: (now: number) => ReadonlySet<string>;
};

export class Reputation {
	readonly health = new Health();
	readonly suspects = new Suspects();
	readonly #options: ReputationOptions;
	readonly #reachability = new Reachability();
	/** Upstreams that were excluded and have not answered since. */
	readonly #unhealthy = new Set<string>();
	#unreachableDomains: ReadonlySet<string> = new Set();

	constructor(options: ReputationOptions) {
		this.#options = options;
	}

	/** Number of upstreams that were excluded and have not answered since. */
	get unhealthyCount(): number {
		return this.#unhealthy.size;
	}

	/** Failure domains that were out of reach at the last update. */
	get unreachableDomains(): ReadonlySet<string> {
		return this.#unreachableDomains;
	}

	/**
	 * Updates which failure domains are out of reach, as their hosts are silent or this host's attempts fail.
	 *
	 * @param now - Time in milliseconds.
	 */
	updateReachability(now: number): void {
		const silent = [...this.#options.silentDomains(now)].filter(domain => !this.#reachability.hasLiveUpstreams(domain, now));
		const failing = this.#reachability.findUnreachable(now);
		const next = new Set([...silent, ...failing]);
		for (const domain of next) {
			if (!this.#unreachableDomains.has(domain)) {
				this.#options.log.write({event: 'domain-unreachable', domain, reason: failing.has(domain) ? 'attempts fail' : 'peers are silent'}, 'warn');
			}
		}

		for (const domain of this.#unreachableDomains) {
			if (!next.has(domain)) {
				this.#options.log.write({event: 'domain-reachable', domain});
			}
		}

		this.#unreachableDomains = next;
	}

	/**
	 * Records the outcome of an attempt of this host.
	 *
	 * @param id - Upstream.
	 * @param upstream - Registration of the upstream, if it still has one.
	 * @param verdict - Outcome for the upstream.
	 * @param now - Time in milliseconds.
	 */
	recordVerdict(id: string, upstream: GatewayUpstream | undefined, verdict: Verdict, now: number): void {
		this.health.record(id, verdict, now);
		this.#logHealthChange(id, verdict, now);
		const domain = upstream?.failureDomain;
		if (domain === undefined || domain === this.#options.failureDomain) {
			return;
		}

		if (verdict === 'unreachable' || verdict === 'broken') {
			this.#reachability.recordFailure(domain, id, now);
		} else {
			this.#reachability.recordSuccess(domain, now);
		}
	}

	/**
	 * Records the report of a peer; ignored if the upstream is already excluded.
	 *
	 * @param absence - Upstream that the peer found unreachable or replaced.
	 * @param now - Time in milliseconds.
	 */
	recordAbsence({upstream, reason}: Absence, now: number): void {
		if (this.health.isBackedOff(upstream, now)) {
			return;
		}

		const verdict = absenceToVerdict(reason);
		this.health.record(upstream, verdict, now);
		this.#logHealthChange(upstream, verdict, now);
	}

	/**
	 * @param id - Upstream that was restarted or removed.
	 */
	forgetUpstream(id: string): void {
		this.health.forget(id);
		this.#unhealthy.delete(id);
	}

	/**
	 * Records a crash that a request may have caused.
	 *
	 * @param crash - Crash observed by this host.
	 * @param now - Time in milliseconds.
	 * @returns Whether the crash is new.
	 */
	suspect(crash: Crash, now: number): boolean {
		const isNew = this.suspects.record(crash, now);
		if (isNew) {
			this.#options.log.write({event: 'suspected', ...crash, crashes: this.suspects.countCrashes(crash.fingerprint, now)}, 'warn');
		}

		return isNew;
	}

	/**
	 * Acquits a request.
	 *
	 * @param fingerprint - Request that was answered completely.
	 * @returns Crashes that the request was suspected of.
	 */
	acquit(fingerprint: string): readonly Crash[] {
		return this.#logAcquittals(this.suspects.acquit(fingerprint), 'answered');
	}

	/**
	 * Checks the suspected crashes of a request and withdraws those that did not happen.
	 *
	 * @param fingerprint - Request.
	 * @param survived - Returns whether the process of the upstream before the suspected crash still runs.
	 * @returns Withdrawn crashes.
	 */
	review(fingerprint: string, survived: (crash: Crash, at: number) => boolean): readonly Crash[] {
		return this.#logAcquittals(this.suspects.clearSurvived(fingerprint, survived), 'the upstream runs on');
	}

	/**
	 * @param crashes - Crashes that a peer has withdrawn.
	 * @param now - Time in milliseconds.
	 * @returns Whether any of them was not yet withdrawn here.
	 */
	clear(crashes: readonly Crash[], now: number): boolean {
		const isNew = this.suspects.clear(crashes, now);
		if (isNew) {
			this.#logAcquittals(crashes, 'cleared by a peer');
		}

		return isNew;
	}

	#logAcquittals(crashes: readonly Crash[], reason: string): readonly Crash[] {
		for (const fingerprint of new Set(crashes.map(crash => crash.fingerprint))) {
			this.#options.log.write({event: 'acquitted', fingerprint, reason});
		}

		return crashes;
	}

	#logHealthChange(upstream: string, verdict: Verdict, now: number): void {
		if (verdict === 'sound') {
			if (this.#unhealthy.delete(upstream)) {
				this.#options.log.write({event: 'upstream-trusted', upstream});
			}
		} else if (this.health.isBackedOff(upstream, now) && !this.#unhealthy.has(upstream)) {
			this.#unhealthy.add(upstream);
			this.#options.log.write({event: 'upstream-doubted', upstream, risk: roundTo(this.health.failureProbability(upstream, now), 2)}, 'warn');
		}
	}
}
