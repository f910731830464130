/** Tracks the health of upstreams, the reachability of failure domains from attempts and peers; logs each change. */
import {absenceToVerdict, type Absence} from '../../core/gateway/health/absences.js';
import {Health, type Verdict} from '../../core/gateway/health/health.js';
import {Reachability} from '../../core/gateway/health/reachability.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {dropOldest} from '../../core/utils/bounded.js';
import {roundTo} from '../../core/utils/numbers.js';
import {type Log} from '../../entry/logs.js';

/** Time in milliseconds for which the connections of a crashed upstream break for that reason, and most upstreams that are kept. */
const crashMs = 1000;
const maxCrashed = 256;

export type ReputationOptions = {
	readonly failureDomain: string;
	readonly log: Pick<Log, 'write'>;
	/** Returns the failure domains whose hosts are all silent. */
	readonly silentDomains: (now: number) => ReadonlySet<string>;
};

export class Reputation {
	readonly health = new Health();
	readonly #options: ReputationOptions;
	readonly #reachability = new Reachability();
	/** Upstreams that were excluded and have not answered since. */
	readonly #unhealthy = new Set<string>();
	/** When upstreams crashed. */
	readonly #crashed = new Map<string, number>();
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
		if (upstream !== undefined) {
			this.#recordReach(upstream, verdict !== 'unreachable' && verdict !== 'broken', now);
		}
	}

	/**
	 * Records that an upstream sends nothing while others do.
	 *
	 * @param upstream - Upstream.
	 * @param now - Time in milliseconds.
	 */
	recordSilence(upstream: GatewayUpstream, now: number): void {
		this.health.silent.meet(upstream.id, now);
		this.#logHealthChange(upstream.id, 'silent', now);
		this.#recordReach(upstream, false, now);
	}

	/**
	 * Trusts an upstream as before once it sends something again, unless it falls silent again and again.
	 *
	 * @param upstream - Upstream that has sent something.
	 * @param now - Time in milliseconds.
	 * @returns Whether peers are to be told, as this host had met its silence.
	 */
	recordLife(upstream: GatewayUpstream, now: number): boolean {
		const {id} = upstream;
		const end = this.health.silent.recordLife(id, now);
		if (end === undefined) {
			return false;
		}

		if (!this.health.isBackedOff(id, now) && this.#unhealthy.delete(id)) {
			this.#options.log.write({
				event: 'upstream-trusted', upstream: id, reason: 'it sends again', risk: this.#computeRisk(id, now),
			});
		} else {
			this.#logReturn(id, now);
		}

		if (end === 'met') {
			this.#recordReach(upstream, true, now);
		}

		return end === 'met';
	}

	/**
	 * Records that an upstream that this host found silent has not answered a health check either.
	 *
	 * @param id - Upstream.
	 * @param now - Time in milliseconds.
	 * @returns Whether peers are to be told that it is still silent.
	 */
	recordUnanswered(id: string, now: number): boolean {
		return this.health.silent.recordUnanswered(id, now);
	}

	/**
	 * Records the report of a peer; ignored if the upstream is already excluded.
	 *
	 * @param absence - Upstream that the peer found unreachable, replaced or silent.
	 * @param peer - Name of the peer that sent the report.
	 * @param now - Time in milliseconds.
	 */
	recordAbsence({upstream, reason}: Absence, peer: string, now: number): void {
		if (reason === 'silent') {
			if (this.health.silent.recordReport(upstream, now)) {
				this.#logSilence(upstream, now, peer);
			}

			return;
		}

		if (this.health.isBackedOff(upstream, now)) {
			return;
		}

		const verdict = absenceToVerdict(reason);
		this.health.record(upstream, verdict, now);
		this.#logHealthChange(upstream, verdict, now, peer);
	}

	/**
	 * Records the report of a peer that an upstream answers again.
	 *
	 * @param id - Upstream.
	 * @param peer - Name of the peer that sent the report.
	 * @param now - Time in milliseconds.
	 */
	recordReturn(id: string, peer: string, now: number): void {
		if (this.health.silent.recordReturn(id, now)) {
			this.#logReturn(id, now, peer);
		}
	}

	/**
	 * Records that this host couldn't connect to an upstream, perhaps only as its own link is cut.
	 *
	 * @param id - Upstream.
	 * @param now - Time in milliseconds.
	 */
	recordUnlinked(id: string, now: number): void {
		this.health.record(id, 'unreachable', now);
		this.#logHealthChange(id, 'unreachable', now);
	}

	/**
	 * Takes back what was recorded against an upstream while the link of this host was to blame.
	 *
	 * @param id - Upstream.
	 */
	excuse(id: string): void {
		this.health.forget(id);
		this.#reachability.forgetFailure(id);
		if (this.#unhealthy.delete(id)) {
			this.#options.log.write({event: 'upstream-trusted', upstream: id, reason: 'the link is cut'});
		}
	}

	/**
	 * @param id - Upstream that was restarted or removed.
	 */
	forgetUpstream(id: string): void {
		this.health.forget(id);
		this.#unhealthy.delete(id);
	}

	/**
	 * Notes that an upstream has crashed, so that its broken connections say nothing about the link to its failure domain.
	 *
	 * @param id - Upstream.
	 * @param now - Time in milliseconds.
	 */
	noteCrash(id: string, now: number): void {
		this.#crashed.delete(id);
		this.#crashed.set(id, now);
		dropOldest(this.#crashed, maxCrashed);
		this.#reachability.forgetFailure(id);
	}

	/** Notes whether the failure domain of an upstream was reached, unless the upstream has just crashed. */
	#recordReach({id, failureDomain}: GatewayUpstream, isReached: boolean, now: number): void {
		if (failureDomain === this.#options.failureDomain) {
			return;
		}

		if (isReached) {
			this.#reachability.recordSuccess(failureDomain, now);
		} else if (now - (this.#crashed.get(id) ?? Number.NEGATIVE_INFINITY) >= crashMs) {
			this.#reachability.recordFailure(failureDomain, id, now);
		}
	}

	#computeRisk(upstream: string, now: number): number {
		return roundTo(this.health.failureProbability(upstream, now), 2);
	}

	#logSilence(upstream: string, now: number, peer: string): void {
		this.#options.log.write({
			event: 'silence-reported', upstream, peer, risk: this.#computeRisk(upstream, now),
		});
	}

	#logReturn(upstream: string, now: number, peer?: string): void {
		this.#options.log.write({
			event: 'silence-ended', upstream, peer, risk: this.#computeRisk(upstream, now),
		});
	}

	/** The evidence is an attempt of this host, or the report of a peer. */
	#logHealthChange(upstream: string, verdict: Verdict | 'silent', now: number, peer?: string): void {
		if (verdict === 'sound') {
			if (this.#unhealthy.delete(upstream)) {
				this.#options.log.write({event: 'upstream-trusted', upstream});
			}
		} else if (this.health.isBackedOff(upstream, now) && !this.#unhealthy.has(upstream)) {
			this.#unhealthy.add(upstream);
			this.#options.log.write({
				event: 'upstream-doubted', upstream, verdict, peer, risk: this.#computeRisk(upstream, now),
			}, 'warn');
		}
	}
}
