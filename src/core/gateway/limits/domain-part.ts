/**
 * Part of the rate of cold upstreams that the hosts of one failure domain may use: it follows where callers arrive, as far as the requests
 * that were sent show. All domains together may use little more than the rate, also while they don't see each other.
 */
import {
	addAmount, getRatePerSecond, zeroRate, type Rate,
} from '../../utils/rates.js';

/** Time constant of the observed rates, in milliseconds. */
const rateTimeMs = 1500;

/**
 * Interval in milliseconds in which the part is adjusted, to what was observed one interval before: until a partition is noticed, each domain
 * keeps to the part that it had when it saw the others.
 */
const adjustmentMs = 1000;

/** Part beyond the observed one, relative to an even part, to grow into. */
const growth = 0.25;

/** Least part of a domain, relative to an even part: a domain that gets no callers must be able to begin. */
const minPart = 0.5;

/** Largest part: a domain that sends everything is held back by the schedule of the fleet alone. */
const maxPart = 1.1;

/** Fewest requests per second from which the part differs from an even one. */
const minRatePerSecond = 1;

export class DomainPart {
	#fleet: Rate = zeroRate;
	#domain: Rate = zeroRate;
	/** Shares of the requests that the domain has sent: as of the last adjustment, and as of the one before. */
	#observed: number | undefined;
	#share: number | undefined;
	#adjustedAt = Number.NEGATIVE_INFINITY;

	/**
	 * @param at - When a request of any host was sent, in milliseconds.
	 * @param isOfDomain - Whether a host of the domain has sent it.
	 */
	count(at: number, isOfDomain: boolean): void {
		this.#fleet = addAmount(this.#fleet, 1, at, rateTimeMs);
		if (isOfDomain) {
			this.#domain = addAmount(this.#domain, 1, at, rateTimeMs);
		}

		if (at - this.#adjustedAt >= adjustmentMs) {
			this.#adjustedAt = at;
			this.#share = this.#observed;
			const total = getRatePerSecond(this.#fleet, at, rateTimeMs);
			this.#observed = total < minRatePerSecond ? undefined : getRatePerSecond(this.#domain, at, rateTimeMs) / total;
		}
	}

	/**
	 * @param domains - Number of failure domains.
	 * @returns The part, above 0.
	 */
	compute(domains: number): number {
		const even = 1 / domains;
		return Math.min(Math.max((this.#share ?? even) + (even * growth), even * minPart), maxPart);
	}
}
