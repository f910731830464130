/** What this host believes of upstreams, failure domains and requests, from how attempts ended; each change is a line. */
import {verdictFrom, type Absence} from '../core/gateway/absences.js';
import {Health, type Verdict} from '../core/gateway/health.js';
import {Reach} from '../core/gateway/reach.js';
import {Suspects, type Crash} from '../core/gateway/suspects.js';
import {type GatewayUpstream} from '../core/gateway/types.js';
import {type Log} from '../entry/logs.js';

export type ReputationOptions = {
	readonly failureDomain: string;
	readonly log: Pick<Log, 'write'>;
	/** Failure domains out of reach by word of peers. */
	readonly silentDomains: (now: number) => ReadonlySet<string>;
};

export class Reputation {
	readonly health = new Health();
	readonly suspects = new Suspects();
	readonly #options: ReputationOptions;
	readonly #reach = new Reach();
	/** Upstreams that were left alone and have not answered since. */
	readonly #doubted = new Set<string>();
	#unreachable: ReadonlySet<string> = new Set();

	/**
	 * @param options - Where this host stands and what it is told.
	 */
	constructor(options: ReputationOptions) {
		this.#options = options;
	}

	/** Upstreams that were left alone and have not answered since. */
	get doubted(): number {
		return this.#doubted.size;
	}

	/** Failure domains out of reach when they were last looked at. */
	get unreachable(): ReadonlySet<string> {
		return this.#unreachable;
	}

	/**
	 * Looks again at which failure domains are out of reach, by word of peers or by one's own attempts.
	 *
	 * @param now - Time in milliseconds.
	 */
	look(now: number): void {
		const silent = [...this.#options.silentDomains(now)].filter(domain => !this.#reach.isAlive(domain, now));
		const failing = this.#reach.cutOff(now);
		const next = new Set([...silent, ...failing]);
		for (const domain of next) {
			if (!this.#unreachable.has(domain)) {
				this.#options.log.write({event: 'domain-unreachable', domain, reason: failing.has(domain) ? 'attempts fail' : 'peers are silent'}, 'warn');
			}
		}

		for (const domain of this.#unreachable) {
			if (!next.has(domain)) {
				this.#options.log.write({event: 'domain-reachable', domain});
			}
		}

		this.#unreachable = next;
	}

	/**
	 * @param id - Upstream.
	 * @param upstream - Its registration, if it still has one.
	 * @param verdict - What an attempt says of it.
	 * @param now - Time in milliseconds.
	 */
	judge(id: string, upstream: GatewayUpstream | undefined, verdict: Verdict, now: number): void {
		this.health.record(id, verdict, now);
		this.#noteDoubt(id, verdict, now);
		const domain = upstream?.failureDomain;
		if (domain === undefined || domain === this.#options.failureDomain) {
			return;
		}

		if (verdict === 'unreachable' || verdict === 'broken') {
			this.#reach.missed(domain, id, now);
		} else {
			this.#reach.heard(domain, now);
		}
	}

	/**
	 * Takes the word of a peer; it adds nothing where the upstream is left alone already.
	 *
	 * @param absence - What the peer found.
	 * @param now - Time in milliseconds.
	 */
	hear({upstream, reason}: Absence, now: number): void {
		if (this.health.isPaused(upstream, now)) {
			return;
		}

		const verdict = verdictFrom(reason);
		this.health.record(upstream, verdict, now);
		this.#noteDoubt(upstream, verdict, now);
	}

	/**
	 * @param id - Upstream that is another process now, or is gone.
	 */
	forget(id: string): void {
		this.health.forget(id);
		this.#doubted.delete(id);
	}

	/**
	 * Holds a crash against a request.
	 *
	 * @param crash - Crash seen here.
	 * @param now - Time in milliseconds.
	 * @returns Whether it was new.
	 */
	suspect(crash: Crash, now: number): boolean {
		const isNew = this.suspects.record(crash, now);
		if (isNew) {
			this.#options.log.write({event: 'suspected', ...crash, crashes: this.suspects.crashes(crash.fingerprint, now)}, 'warn');
		}

		return isNew;
	}

	/**
	 * @param fingerprint - Request that was answered whole.
	 * @returns Crashes that were held against it until now.
	 */
	acquit(fingerprint: string): readonly Crash[] {
		return this.#noteCleared(this.suspects.acquit(fingerprint), 'answered');
	}

	/**
	 * @param fingerprint - Request.
	 * @param survived - Whether an upstream runs on as it did when it is said to have crashed.
	 * @returns Crashes that were none.
	 */
	review(fingerprint: string, survived: (crash: Crash, at: number) => boolean): readonly Crash[] {
		return this.#noteCleared(this.suspects.review(fingerprint, survived), 'the upstream runs on');
	}

	/**
	 * @param crashes - Crashes that a peer has cleared.
	 * @param now - Time in milliseconds.
	 * @returns Whether that is news.
	 */
	clear(crashes: readonly Crash[], now: number): boolean {
		const isNews = this.suspects.clear(crashes, now);
		if (isNews) {
			this.#noteCleared(crashes, 'cleared by a peer');
		}

		return isNews;
	}

	#noteCleared(crashes: readonly Crash[], reason: string): readonly Crash[] {
		for (const fingerprint of new Set(crashes.map(crash => crash.fingerprint))) {
			this.#options.log.write({event: 'acquitted', fingerprint, reason});
		}

		return crashes;
	}

	#noteDoubt(upstream: string, verdict: Verdict, now: number): void {
		if (verdict === 'sound') {
			if (this.#doubted.delete(upstream)) {
				this.#options.log.write({event: 'upstream-trusted', upstream});
			}
		} else if (this.health.isPaused(upstream, now) && !this.#doubted.has(upstream)) {
			this.#doubted.add(upstream);
			this.#options.log.write({event: 'upstream-doubted', upstream, risk: Number(this.health.risk(upstream, now).toFixed(2))}, 'warn');
		}
	}
}
