/**
 * Limits the requests to cold upstreams. An upstream that has just started takes few requests per second and crashes at a rate well above, so
 * in no second may it get more than its bound, from all hosts together. Two schedules hold it: one at the rate of the upstream, advanced by
 * the requests of all hosts, and one for the failure domain of this host at little more than its part of them. The second one holds while
 * a partition has not been noticed yet. Times are monotonic, in milliseconds.
 */
import {dropOldest} from '../../utils/bounded.js';
import {DomainPart} from './domain-part.js';
import {RateSchedule, type RateShare} from './rate-schedule.js';

/** Cold upstreams kept; more than any fleet has. */
const maxEntries = 2048;

/** Longest cold time that is believed, in milliseconds: engines need minutes at most. */
export const maxColdTimeMs = 3_600_000;

const msPerSecond = 1000;

/**
 * Time after the end of the cold time in which the allowed rate doubles in each step: at once without a limit, all hosts would send what
 * they held back to the emptiest upstream.
 */
export const warmUpMs = 1000;
const warmUpStepMs = 250;

/**
 * Requests may be ahead of the schedules by this time, or this part of an interval if that is longer, to make up for the delay until one of
 * the hosts has used an allowed request.
 */
const burstTimeMs = 150;
const burstShare = 0.8;
const domainBurstShare = 0.6;

/** Hosts learn at about the same time that an upstream is cold, and spread their first use of the schedule over this time. */
const firstUseSpreadMs = 500;

/** Margin between the rate of the schedule and the bound, for requests that hosts send before they know of each other. */
const boundFactor = 1.5;

/** Share of the visible fleet below which a host counts as having lost sight of the others. */
const lossOfSightFactor = 0.95;

/** Bound on the requests that a cold upstream gets in any second. */
export type ColdBound = {
	/** Multiple of the upstream's rate. */
	readonly overage: number;
	/** Requests in addition. */
	readonly allowance: number;
};

/** How the hosts share the rate of a cold upstream. */
export type ColdShare = RateShare & {
	/** Number of failure domains of the fleet. */
	readonly domains: number;
	/** Milliseconds until this host knows enough of the others to send any request to a cold upstream; 0 if it does. */
	readonly settling: number;
};

/** A request or an order at an upstream. */
export type ColdRequest = {
	readonly upstream: string;
	/** When it was sent. */
	readonly at: number;
	/** Whether a host of this host's failure domain sent it. */
	readonly isOfDomain: boolean;
};

type Entry = {
	until: number;
	readonly fleet: RateSchedule;
	readonly domain: RateSchedule;
	visible: number;
};

export class ColdStarts {
	readonly #bound: ColdBound;
	readonly #random: () => number;
	readonly #entries = new Map<string, Entry>();
	readonly #domainPart = new DomainPart();

	/**
	 * @param bound - Bound on the requests in any second.
	 * @param random - Uniform from 0 to 1.
	 */
	constructor(bound: ColdBound, random: () => number) {
		this.#bound = bound;
		this.#random = random;
	}

	/** Whether no upstream is cold or has been shortly before. */
	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	/**
	 * @param upstream - Upstream.
	 * @returns Until when it is cold; undefined if it has not been lately.
	 */
	getEnd(upstream: string): number | undefined {
		return this.#entries.get(upstream)?.until;
	}

	/**
	 * @param now - Time.
	 * @returns The upstreams that are cold, with the end of the cold time.
	 */
	list(now: number): ReadonlyArray<{readonly upstream: string; readonly until: number}> {
		return [...this.#entries].filter(([, {until}]) => until > now).map(([upstream, {until}]) => ({upstream, until}));
	}

	/**
	 * Records that an upstream is cold. Of several times, the latest holds.
	 *
	 * @param upstream - Upstream.
	 * @param until - End of its cold time.
	 * @param now - Time.
	 * @returns Milliseconds by which this is later than what was known.
	 */
	record(upstream: string, until: number, now: number): number {
		const entry = this.#entries.get(upstream);
		if (entry !== undefined) {
			const gain = until - Math.max(entry.until, now);
			entry.until = Math.max(entry.until, until);
			return Math.max(gain, 0);
		}

		if (until <= now) {
			return 0;
		}

		this.#entries.set(upstream, {
			until, fleet: new RateSchedule(now + (this.#random() * firstUseSpreadMs)), domain: new RateSchedule(now), visible: 1,
		});
		dropOldest(this.#entries, maxEntries);

		return until - now;
	}

	/**
	 * @param upstream - Upstream that is gone.
	 */
	forget(upstream: string): void {
		this.#entries.delete(upstream);
	}

	/**
	 * Removes what has no effect any more.
	 *
	 * @param now - Time.
	 * @returns The upstreams that were removed.
	 */
	removeEnded(now: number): readonly string[] {
		const ended = [...this.#entries].filter(([, {until}]) => now >= until + warmUpMs).map(([upstream]) => upstream);
		for (const upstream of ended) {
			this.#entries.delete(upstream);
		}

		return ended;
	}

	/**
	 * @param request - Request or order of any host.
	 * @param rate - Requests per second that the upstream takes while cold.
	 * @param share - How the hosts share it.
	 */
	count({upstream, at, isOfDomain}: ColdRequest, rate: number, share: ColdShare): void {
		const entry = this.#entries.get(upstream);
		if (entry === undefined) {
			return;
		}

		this.#domainPart.count(at, isOfDomain);
		const interval = this.#computeInterval(entry, rate, at);
		const delay = this.#random() * share.spread;
		entry.fleet.count(at, interval / share.visible, delay);
		if (isOfDomain) {
			entry.domain.count(at, interval / this.#domainPart.compute(share.domains), delay);
		}
	}

	/**
	 * @param upstream - Upstream.
	 * @param rate - Requests per second that it takes while cold.
	 * @param now - Time.
	 * @param share - How the hosts share it.
	 * @returns Milliseconds until it may get another request of this host; 0 if it may now.
	 */
	computeWait(upstream: string, rate: number, now: number, share: ColdShare): number {
		const entry = this.#entries.get(upstream);
		if (entry === undefined || now >= entry.until + warmUpMs) {
			return 0;
		}

		if (share.settling > 0) {
			return Math.min(share.settling, entry.until + warmUpMs - now);
		}

		this.#noteVisibleShare(entry, rate, now, share);
		const interval = this.#computeInterval(entry, rate, now);
		const domainInterval = interval / this.#domainPart.compute(share.domains);
		const wait = Math.max(
			entry.fleet.computeWait(now, Math.max(interval * burstShare, burstTimeMs)),
			entry.domain.computeWait(now, Math.max(domainInterval * domainBurstShare, burstTimeMs)),
		);
		return Math.min(wait, entry.until + warmUpMs - now);
	}

	/**
	 * A host that sees less of the fleet than before waits for a random part of its interval: many hosts may be in the same situation.
	 */
	#noteVisibleShare(entry: Entry, rate: number, now: number, {visible}: ColdShare): void {
		if (visible < entry.visible * lossOfSightFactor) {
			const interval = this.#computeInterval(entry, rate, now) / visible;
			entry.fleet.postponeTo(now + (this.#random() * interval));
		}

		entry.visible = visible;
	}

	/** Milliseconds between two requests of all hosts together. */
	#computeInterval({until}: Entry, rate: number, at: number): number {
		const {overage, allowance} = this.#bound;
		const pace = Math.min(rate, ((rate * overage) + allowance) / boundFactor);
		return msPerSecond / pace / (2 ** (Math.max(at - until, 0) / warmUpStepMs));
	}
}
