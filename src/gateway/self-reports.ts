/** Keeps what upstreams report about themselves in their responses to this host and its peers, shares changes with peers, and logs them. */
import {RateLimits, type RateLimitReport, type RateShare} from '../core/gateway/rate-limits.js';
import {type GatewayUpstream} from '../core/gateway/types.js';
import {type Log} from '../entry/logs.js';
import {type SelfReport} from './platform-adapter.js';

export type SelfReportsOptions = {
	readonly log: Pick<Log, 'write'>;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	readonly random: () => number;
	/** Returns when the process of an upstream started; undefined if it isn't registered or doesn't say. */
	readonly startOf: (upstream: string) => number | undefined;
	/** How the hosts share the limit of an upstream at present. */
	readonly share: () => RateShare;
	/** Sends a report to all peers. */
	readonly publish: (report: RateLimitReport) => void;
};

/** Process of an upstream that a request was sent to. */
export type UpstreamProcess = Pick<GatewayUpstream, 'id' | 'started'>;

const ownSource = 'response';

/**
 * Time after which the end of a limit is reported to peers a second time: by then it is certainly later than any report of the limit, even
 * at a host where that one seemed to be the later one.
 */
const confirmationDelayMs = 1000;

export class SelfReports {
	readonly #options: SelfReportsOptions;
	readonly #rateLimits: RateLimits;
	/** Upstreams that reported that they leave. */
	readonly #leaving = new Set<string>();
	/** When the end of a limit is due to be confirmed, by upstream. */
	readonly #confirmations = new Map<string, number>();

	constructor(options: SelfReportsOptions) {
		this.#options = options;
		this.#rateLimits = new RateLimits(options.random);
	}

	/** Number of upstreams that limit the rate of requests. */
	get limitedCount(): number {
		return this.#rateLimits.count;
	}

	/** All that is known, for a host that has just been linked. */
	get rateLimits(): readonly RateLimitReport[] {
		return this.#rateLimits.reports;
	}

	/**
	 * Records what an upstream reported in a response to this host.
	 *
	 * @param process - Process that the request was sent to. Nothing is recorded if the upstream has restarted since.
	 * @param report - Its report.
	 * @param sent - When the request was sent.
	 */
	record({id: upstream, started}: UpstreamProcess, {rateLimit, isLeaving}: SelfReport, sent: number): void {
		if (isLeaving && !this.#leaving.has(upstream)) {
			this.#leaving.add(upstream);
			this.#options.log.write({event: 'upstream-leaving', upstream, source: ownSource});
		}

		const report = {
			upstream, started, rate: rateLimit, sent, received: this.#options.now(),
		};
		if (this.#applyRateLimit(report, ownSource) === 'changed') {
			this.#publishChange(report);
		} else if (rateLimit === undefined && sent >= (this.#confirmations.get(upstream) ?? Number.POSITIVE_INFINITY)) {
			this.#confirmations.delete(upstream);
			this.#options.publish(report);
		}
	}

	/**
	 * @param peer - Peer.
	 * @param report - What an upstream reported to the peer or to another host.
	 */
	applyPeerReport(peer: string, report: RateLimitReport): void {
		this.#applyRateLimit(report, peer);
	}

	/**
	 * @param upstream - Upstream that this host or a peer sends a request to.
	 * @param at - When it is sent.
	 */
	countRequest(upstream: string, at: number): void {
		if (this.#rateLimits.get(upstream) !== undefined) {
			this.#rateLimits.countRequest(upstream, at, this.#options.share());
		}
	}

	/** Returns the upstreams that accept no request at present. */
	findUnavailable(): ReadonlySet<string> {
		return this.#rateLimits.findExhausted(this.#options.now());
	}

	/**
	 * @param upstream - Upstream.
	 * @returns Milliseconds until it accepts another request.
	 */
	computeWait(upstream: string): number {
		return this.#rateLimits.computeWait(upstream, this.#options.now());
	}

	/**
	 * @param upstream - Upstream that was restarted or removed.
	 */
	forgetUpstream(upstream: string): void {
		this.#rateLimits.forget(upstream);
		this.#leaving.delete(upstream);
		this.#confirmations.delete(upstream);
	}

	#publishChange(report: RateLimitReport): void {
		this.#options.publish(report);
		if (report.rate === undefined) {
			this.#confirmations.set(report.upstream, report.sent + confirmationDelayMs);
		} else {
			this.#confirmations.delete(report.upstream);
		}
	}

	#applyRateLimit(report: RateLimitReport, source: string): ReturnType<RateLimits['record']> {
		const {log, now, startOf} = this.#options;
		if (startOf(report.upstream) !== report.started) {
			return 'same';
		}

		const before = this.#rateLimits.get(report.upstream)?.rate;
		const change = this.#rateLimits.record(report, now());
		if (change === 'changed') {
			log.write({
				event: 'upstream-limit', upstream: report.upstream, rate: report.rate, before, source,
			});
		}

		return change;
	}
}
