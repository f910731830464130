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
		const domain = upstream?.failureDomain;
		if (domain === undefined || domain === this.#options.failureDomain) {
			return;
		}

		if (verdict === 'unreachable' || verdict === 'broken') {
			if (now - (this.#crashed.get(id) ?? Number.NEGATIVE_INFINITY) < crashMs) {
				return;
			}

			this.#reachability.recordFailure(domain, id, now);
		} else {
			this.#reachability.recordSuccess(domain, now);
		}
	}

	/**
	 * Records the report of a peer; ignored if the upstream is already excluded.
	 *
	 * @param absence - Upstream that the peer found unreachable or replaced.
	 * @param peer - Name of the peer that sent the report.
	 * @param now - Time in milliseconds.
	 */
	recordAbsence({upstream, reason}: Absence, peer: string, now: number): void {
		if (this.health.isBackedOff(upstream, now)) {
			return;
		}

		const verdict = absenceToVerdict(reason);
		this.health.record(upstream, verdict, now);
		this.#logHealthChange(upstream, verdict, now, peer);
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

	/** The evidence is an attempt of this host, or the report of a peer. */
	#logHealthChange(upstream: string, verdict: Verdict, now: number, peer?: string): void {
		if (verdict === 'sound') {
			if (this.#unhealthy.delete(upstream)) {
				this.#options.log.write({event: 'upstream-trusted', upstream});
			}
		} else if (this.health.isBackedOff(upstream, now) && !this.#unhealthy.has(upstream)) {
			this.#unhealthy.add(upstream);
			const risk = roundTo(this.health.failureProbability(upstream, now), 2);
			this.#options.log.write({
				event: 'upstream-doubted', upstream, verdict, peer, risk,
			}, 'warn');
		}
	}
}
