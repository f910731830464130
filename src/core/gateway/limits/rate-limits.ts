/**
 * Keeps to the rate limits that upstreams report in their responses. A limit applies to all hosts together: each host counts the requests
 * that it sends and those that its peers report, and sends one only when the limit allows the next.
 */
import {dropOldest} from '../../utils/bounded.js';
import {RateSchedule, type RateShare} from './rate-schedule.js';

/** Limits kept, including those of upstreams that aren't registered any more: a registration that has lapsed may come back. */
const maxEntries = 512;

/** Requests per second that are sent to an upstream with a lower limit, so that it is noticed when the limit is lifted. */
const minRate = 0.1;

/** An upstream that got no requests for this long may get as many at once as its limit allows in the same time, in milliseconds. */
const burstTimeMs = 1000;

/** Usual bound on the time from a response at one host until all others know what it reported, in milliseconds. */
const maxMessageDelayMs = 100;

/**
 * Interval in which a limit is reported to peers again, by the host that gets the next response. Peers ignore a report that is not
 * certainly later than what they know, and a later one settles it.
 */
const shareIntervalMs = 2000;

/** For how long the end of a limit is reported again. */
const endSharingMs = 10_000;

const msPerSecond = 1000;

/**
 * Rate limit that an upstream reported in a response, or that it reported none. Times are monotonic, in milliseconds. A limit outlasts a
 * restart of its upstream until the next response: which process has responded is known only later.
 */
export type RateLimitReport = {
	readonly upstream: string;
	/** Requests per second from all hosts together; undefined for no limit. */
	readonly rate?: number;
	/** When the request was sent. */
	readonly sent: number;
	/** When its response arrived. */
	readonly received: number;
};

/**
 * Effect of a report: `changed` replaces the limit, `same` repeats it, and `outdated` may be older than what is known, so that it doesn't
 * raise a limit.
 */
export type RateLimitChange = 'changed' | 'outdated' | 'same';

type Entry = {
	report: RateLimitReport;
	readonly schedule: RateSchedule;
	changedAt: number;
	/** When the report was last shared with peers, by this host or another one; undefined if it has to be. */
	sharedAt: number | undefined;
};

function rateOf({rate}: RateLimitReport): number {
	return rate === undefined ? Number.POSITIVE_INFINITY : Math.max(rate, minRate);
}

/**
 * Compares reports of one upstream. Responses overtake each other, so one report is later than another only if its request was sent after
 * the other's response had arrived. Reports of peers look later than they are by the time that their message took.
 */
function isLater(a: RateLimitReport, b: RateLimitReport): boolean {
	return a.sent >= b.received + maxMessageDelayMs;
}

/** Rate limits of upstreams. */
export class RateLimits {
	readonly #random: () => number;
	readonly #entries = new Map<string, Entry>();

	/**
	 * @param random - Uniform from 0 to 1.
	 */
	constructor(random: () => number) {
		this.#random = random;
	}

	/** The latest report of each upstream that has reported a limit. */
	get reports(): readonly RateLimitReport[] {
		return [...this.#entries.values()].map(({report}) => report);
	}

	/**
	 * @param upstream - Upstream.
	 * @returns Its latest report, if it has ever reported a limit.
	 */
	get(upstream: string): RateLimitReport | undefined {
		return this.#entries.get(upstream)?.report;
	}

	/**
	 * Records a report. Of two reports whose order is unknown, the one with the lower limit holds.
	 *
	 * @param report - Report in a response, to this host or to a peer.
	 * @param now - Time.
	 * @returns Effect of the report.
	 */
	record(report: RateLimitReport, now: number): RateLimitChange {
		const entry = this.#entries.get(report.upstream);
		if (entry === undefined) {
			return this.#recordFirst(report, now);
		}

		const known = entry.report;
		if (report.rate === known.rate) {
			entry.report = {...known, sent: Math.max(known.sent, report.sent), received: Math.max(known.received, report.received)};
			return 'same';
		}

		const isStricter = rateOf(report) < rateOf(known) && !isLater(known, report);
		if (!isStricter && !isLater(report, known)) {
			return 'outdated';
		}

		entry.report = report;
		entry.changedAt = now;
		entry.schedule.advanceTo(now + (msPerSecond / rateOf(report)));
		return 'changed';
	}

	/**
	 * @param upstream - Upstream.
	 * @param now - Time.
	 * @returns Whether its limit is to be shared with peers again.
	 */
	isShareDue(upstream: string, now: number): boolean {
		const entry = this.#entries.get(upstream);
		if (entry === undefined || (entry.report.rate === undefined && now - entry.changedAt > endSharingMs)) {
			return false;
		}

		return entry.sharedAt === undefined || now - entry.sharedAt >= shareIntervalMs;
	}

	/**
	 * @param upstream - Upstream.
	 * @param at - When its limit was shared with peers; undefined if it has to be.
	 */
	markShared(upstream: string, at: number | undefined): void {
		const entry = this.#entries.get(upstream);
		if (entry !== undefined) {
			entry.sharedAt = at;
		}
	}

	/**
	 * @param upstream - Upstream that a request is sent to.
	 * @param at - When it is sent.
	 * @param share - How the hosts share the limit.
	 */
	countRequest(upstream: string, at: number, {visible, spread}: RateShare): void {
		const entry = this.#entries.get(upstream);
		if (entry?.report.rate !== undefined) {
			entry.schedule.count(at, msPerSecond / rateOf(entry.report) / visible, this.#random() * spread);
		}
	}

	/**
	 * @param upstream - Upstream.
	 * @param now - Time.
	 * @returns Milliseconds until its limit allows another request; 0 if it does now.
	 */
	computeWait(upstream: string, now: number): number {
		const entry = this.#entries.get(upstream);
		if (entry?.report.rate === undefined) {
			return 0;
		}

		const burstTime = Math.max(burstTimeMs - (msPerSecond / rateOf(entry.report)), 0);
		return entry.schedule.computeWait(now, burstTime);
	}

	#recordFirst(report: RateLimitReport, now: number): RateLimitChange {
		if (report.rate === undefined) {
			return 'same';
		}

		this.#entries.set(report.upstream, {
			report, schedule: new RateSchedule(now), changedAt: now, sharedAt: undefined,
		});
		dropOldest(this.#entries, maxEntries);

		return 'changed';
	}
}
