/** Keeps what upstreams report about themselves in their responses to this host and its peers, shares changes with peers, and logs them. */
import {assertNever} from '../../core/index.js';
import {Departures} from '../../core/gateway/limits/departures.js';
import {type Obstacle} from '../../core/gateway/placement/eligibility.js';
import {Pauses} from '../../core/gateway/limits/pauses.js';
import {RateLimits, type RateLimitReport} from '../../core/gateway/limits/rate-limits.js';
import {type RateShare} from '../../core/gateway/limits/rate-schedule.js';
import {type GatewayUpstream, type UpstreamProcess} from '../../core/gateway/types.js';
import {type UpstreamStatement} from '../../core/gateway/limits/upstream-reports.js';
import {type Log} from '../../entry/logs.js';
import {type SelfReport} from '../platform-adapter.js';

export type SelfReportsOptions = {
	readonly log: Pick<Log, 'write'>;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	readonly random: () => number;
	/** Unix time in milliseconds. */
	readonly wall: () => number;
	/** Returns the registered process of an upstream, if there is one. */
	readonly findProcess: (upstream: string) => UpstreamProcess | undefined;
	/** How the hosts share the limit of an upstream at present. */
	readonly share: () => RateShare;
	/** Sends a report to all peers. */
	readonly publish: (report: UpstreamStatement) => void;
};

type RegisteredUpstream = Pick<GatewayUpstream, 'id' | 'started'>;

const ownSource = 'response';

export class SelfReports {
	readonly #options: SelfReportsOptions;
	readonly #rateLimits: RateLimits;
	readonly #departures = new Departures();
	readonly #pauses = new Pauses();
	constructor(options: SelfReportsOptions) {
		this.#options = options;
		this.#rateLimits = new RateLimits(options.random);
	}

	/** Number of upstreams that limit the rate of requests. */
	get limitedCount(): number {
		return this.#rateLimits.reports.filter(({rate, upstream}) => rate !== undefined && this.#options.findProcess(upstream) !== undefined).length;
	}

	/**
	 * @param upstream - Upstream.
	 * @returns Whether the requests of all hosts to it are counted, as it limits their rate.
	 */
	isLimited(upstream: string): boolean {
		return this.#rateLimits.get(upstream)?.rate !== undefined;
	}

	/**
	 * @param process - Process of an upstream.
	 * @returns Whether it has stated that it leaves.
	 */
	isLeaving(process: UpstreamProcess): boolean {
		return this.#departures.isLeaving(process);
	}

	/** All that is known, for a host that has just been linked. */
	get all(): readonly UpstreamStatement[] {
		return [
			...this.#rateLimits.reports.map(report => ({type: 'rate-limit', ...report} as const)),
			...this.#departures.all.map(departure => ({type: 'departure', ...departure} as const)),
		];
	}

	/**
	 * Records what an upstream reported in a response to this host.
	 *
	 * @param process - Process that was registered as the request was sent.
	 * @param report - Its report.
	 * @param sent - When the request was sent.
	 */
	record({upstream, started}: UpstreamProcess, {rateLimit, isLeaving, pause}: SelfReport, sent: number): void {
		if (pause !== undefined) {
			this.#applyPause({upstream, started}, pause);
		}

		if (isLeaving && this.#applyDeparture({upstream, started}, ownSource)) {
			this.#options.publish({type: 'departure', upstream, started});
		}

		const report = {
			upstream, rate: rateLimit, sent, received: this.#options.now(),
		};
		const change = this.#applyRateLimit(report, ownSource);
		if (change === 'changed' || (change === 'same' && this.#rateLimits.isShareDue(upstream, report.received))) {
			this.#rateLimits.markShared(upstream, report.received);
			this.#options.publish({type: 'rate-limit', ...report});
		}
	}

	/**
	 * @param peer - Peer.
	 * @param report - What an upstream reported to the peer or to another host.
	 */
	applyPeerReport(peer: string, report: UpstreamStatement): void {
		switch (report.type) {
			case 'rate-limit': {
				const {type, ...limit} = report;
				this.#applyPeerRateLimit(peer, limit);
				return;
			}

			case 'departure': {
				const {type, ...departure} = report;
				this.#applyDeparture(departure, peer);
				return;
			}

			default: {
				assertNever(report);
			}
		}
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

	/**
	 * @param upstream - Registered upstream.
	 * @returns What it has reported that keeps it from accepting a request at present; of several, the one that lasts longest.
	 */
	findObstacle({id: upstream, started}: RegisteredUpstream): Obstacle | undefined {
		const process = {upstream, started};
		if (this.#departures.isLeaving(process)) {
			return {type: 'departure'};
		}

		const now = this.#options.now();
		const limitWait = this.#rateLimits.computeWait(upstream, now);
		const pauseWait = this.#pauses.computeWait(process, now);
		if (Math.max(limitWait, pauseWait) === 0) {
			return undefined;
		}

		return limitWait >= pauseWait ? {type: 'rate-limit', wait: limitWait} : {type: 'pause', wait: pauseWait};
	}

	#applyPause(process: UpstreamProcess, pause: number): void {
		const {log, now, wall} = this.#options;
		this.#pauses.record({...process, receivedWall: wall(), until: now() + pause}, now());
		log.write({event: 'upstream-paused', upstream: process.upstream, wait: Math.round(pause)});
	}

	/** Records and logs a departure; returns whether it is new. */
	#applyDeparture(departure: UpstreamProcess, source: string): boolean {
		const isNew = this.#departures.record(departure);
		if (isNew) {
			this.#options.log.write({event: 'upstream-leaving', upstream: departure.upstream, source});
		}

		return isNew;
	}

	/** If the report is not certainly later than what is known here, the next response to this host tells peers which one holds. */
	#applyPeerRateLimit(peer: string, report: RateLimitReport): void {
		const isOutdated = this.#applyRateLimit(report, peer) === 'outdated';
		this.#rateLimits.markShared(report.upstream, isOutdated ? undefined : this.#options.now());
	}

	#applyRateLimit(report: RateLimitReport, source: string): ReturnType<RateLimits['record']> {
		const {log, now} = this.#options;
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
