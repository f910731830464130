/**
 * Decides which requests give way while the upstreams of a service are full: those of an organisation that uses far more than its usual
 * share. Without it, an organisation that sends ten times its usual takes the capacity of all others in proportion.
 */
import {
	add, computeLevels, computeOverall, presentWindowMs, updateTotal, updateUse, type Levels, type OrganisationUse, type Sums,
} from './organisation-use.js';
import {maxPriorityShift} from './priority.js';
import {maxNamedOrganisations, type NamedUse, type ShareHistory} from './share-history.js';

/** Observation time, in milliseconds, before which no usual use is known. */
export const minHistoryMs = 6000;

/** For how long, in milliseconds, upstreams count as full after a request that was delayed. */
export const pressureMs = 5000;

/**
 * For how long, in milliseconds, an organisation that exceeded what is tolerated is held to its usual use. If it were held to what is
 * tolerated, upstreams that have little capacity to spare would stay full.
 */
export const restrictionMs = 10_000;

/** Organisations that have sent nothing for this long, in milliseconds, are forgotten. */
export const retentionMs = 600_000;

/** How often silent organisations are looked for, in milliseconds: for each request, it costs 8 us with 8,192 organisations. */
const forgetIntervalMs = 1000;

/** Largest weight of a request that is counted: far above any prompt. The square of a larger one could make the sums infinite for good. */
const maxWeight = 1e6;

/** Largest number of organisations that are kept for one service. Beyond it, the one that has been silent for longest is forgotten. */
export const maxOrganisations = 8192;

/**
 * Time, in milliseconds, for which an organisation that appears later than others is assumed to have used the mean of all. Otherwise its
 * first requests would make any use its usual one.
 */
const assumedHistoryMs = 30_000;

/** Shortest retry delay in milliseconds, and the width of its random spread relative to it: callers must not return together. */
const minReturnDelayMs = 1000;
const returnSpread = 0.6;

/** Use of a service by one organisation that gives way, in requests of usual weight per second. */
export type Excess = {
	readonly use: number;
	/** Use up to which it is not held back. */
	readonly share: number;
	/** Milliseconds until it is back at its share if it sends nothing. */
	readonly wait: number;
};

/**
 * @param excess - Excess of the organisation of a refused request.
 * @param random - Uniform from 0 to 1, to spread retries.
 * @returns Milliseconds after which its caller may retry.
 */
export function computeReturnDelay({wait}: Excess, random: number): number {
	return Math.max(wait, minReturnDelayMs) * (1 + (random * returnSpread));
}

/** Use of one service by organisations, as far as this host knows of it. Times are monotonic, in milliseconds. */
export class Shares {
	/** By tag of the organisation; the one that has been silent for longest is first. */
	readonly #organisations = new Map<string, OrganisationUse>();
	#total: Sums | undefined;
	#historyStart = 0;
	#forgetAt = 0;
	/** Organisations that a peer knows and did not name; they count in the mean. */
	#unnamed = 0;
	#learnedAt = Number.NEGATIVE_INFINITY;
	#pressedUntil = Number.NEGATIVE_INFINITY;

	/** Number of organisations that are kept. */
	get size(): number {
		return this.#organisations.size;
	}

	/** When the use was learned from a peer: it covers requests sent before. */
	get learnedAt(): number {
		return this.#learnedAt;
	}

	/**
	 * @param now - Time.
	 * @returns What another host needs to judge organisations as this one does; undefined while this host knows no usual use.
	 */
	summarize(now: number): ShareHistory | undefined {
		if (this.#total === undefined || now - this.#historyStart < minHistoryMs) {
			return undefined;
		}

		updateTotal(this.#total, now);
		const {present, usual, squares} = this.#total;
		const organisations = [...this.#organisations]
			.toSorted(([, a], [, b]) => computeOverall(b, now) - computeOverall(a, now))
			.slice(0, maxNamedOrganisations)
			.map(([organisation, {at, restrictedUntil, ...use}]): NamedUse => ({
				...use, organisation, age: now - at, restricted: restrictedUntil?.map(until => Math.max(until - now, 0)),
			}));
		return {
			history: now - this.#historyStart, full: Math.max(this.#pressedUntil - now, 0), present, usual, squares, unnamed: this.#count(now) - organisations.length, organisations,
		};
	}

	/**
	 * Takes over what a peer knows, unless this host knows the usual use itself. It replaces what was counted so far: the peer has counted
	 * the same requests.
	 *
	 * @param known - Use as known to the peer.
	 * @param now - Time.
	 * @returns Whether it was taken over.
	 */
	learn({history, full, unnamed, organisations, ...sums}: ShareHistory, now: number): boolean {
		if (this.#total !== undefined && now - this.#historyStart >= minHistoryMs) {
			return false;
		}

		this.#total = {...sums, at: now};
		this.#historyStart = now - history;
		this.#pressedUntil = Math.max(this.#pressedUntil, now + full);
		this.#unnamed = unnamed;
		this.#learnedAt = now;
		this.#organisations.clear();
		for (const {organisation, age, restricted, ...use} of organisations.toSorted((a, b) => b.age - a.age)) {
			this.#organisations.set(organisation, {...use, at: now - age, restrictedUntil: restricted?.map(remaining => now + remaining)});
		}

		return true;
	}

	/**
	 * @param organisation - Tag of the organisation of a request that is sent.
	 * @param weight - Weight of the request, relative to a usual one.
	 * @param now - Time.
	 * @param count - Number of requests with this weight.
	 */
	count(organisation: string, weight: number, now: number, count = 1): void {
		if (!(weight > 0 && weight <= maxWeight)) {
			return;
		}

		if (this.#total === undefined) {
			this.#total = {
				present: 0, usual: 0, squares: 0, at: now,
			};
			this.#historyStart = now;
		}

		const use = this.#organisations.get(organisation) ?? this.#createUse(now);
		this.#organisations.delete(organisation);
		this.#organisations.set(organisation, use);
		updateUse(use, now);
		updateTotal(this.#total, now);
		add(use, weight, count);
		use.overall += weight * count;
		add(this.#total, weight, count);
		this.#forget(now);
		this.#restrict(use, now);
	}

	/**
	 * Records that a request of any organisation is delayed because upstreams are full.
	 *
	 * @param now - Time.
	 */
	recordPressure(now: number): void {
		this.#pressedUntil = Math.max(this.#pressedUntil, now + pressureMs);
	}

	/**
	 * @param now - Time.
	 * @returns Whether upstreams were full a short time ago.
	 */
	isPressed(now: number): boolean {
		return now < this.#pressedUntil;
	}

	/**
	 * @param organisation - Tag of the organisation of a request that has not been sent.
	 * @param now - Time.
	 * @param shift - Whole ranks by which its priority moves the request, from -2 to 2: the more, the sooner it gives way.
	 * @returns By how much the organisation exceeds its share; undefined if the request is served like any other.
	 */
	findExcess(organisation: string, now: number, shift = 0): Excess | undefined {
		const use = this.#organisations.get(organisation);
		const levels = use === undefined ? undefined : this.#restrict(use, now);
		const restrictedUntil = use?.restrictedUntil?.[shift + maxPriorityShift];
		if (levels === undefined || restrictedUntil === undefined || now >= restrictedUntil || levels.present <= levels.usual) {
			return undefined;
		}

		const {present, usual} = levels;
		return {use: present * 1000, share: usual * 1000, wait: Math.log(present / usual) * presentWindowMs};
	}

	/** Restricts an organisation that exceeds what is tolerated while upstreams are full; returns its use, if it can be judged. */
	#restrict(use: OrganisationUse, now: number): Levels | undefined {
		if (!this.isPressed(now) || this.#total === undefined || now - this.#historyStart < minHistoryMs) {
			return undefined;
		}

		updateUse(use, now);
		updateTotal(this.#total, now);
		const levels = computeLevels(use, this.#total, this.#count(now), now - this.#historyStart);
		if (levels !== undefined && levels.present > levels.tolerated.at(-1)!) {
			const {present, tolerated} = levels;
			use.restrictedUntil = tolerated.map((most, index) => present > most ? now + restrictionMs : use.restrictedUntil?.[index] ?? Number.NEGATIVE_INFINITY);
		}

		return levels;
	}

	/** Organisations that appear with the first requests of a service have as much history as it has. */
	#createUse(now: number): OrganisationUse {
		const history = now - this.#historyStart;
		this.#unnamed = Math.max(this.#unnamed - 1, 0);
		return {
			present: 0, usual: 0, squares: 0, at: now, covered: 0, overall: 0, assumed: history < minHistoryMs ? 0 : assumedHistoryMs,
		};
	}

	/** Returns the number of organisations, with those that a peer did not name: they are forgotten as if silent since then. */
	#count(now: number): number {
		return this.#organisations.size + (now - this.#learnedAt < retentionMs ? this.#unnamed : 0);
	}

	#forget(now: number): void {
		if (now < this.#forgetAt && this.#organisations.size <= maxOrganisations) {
			return;
		}

		this.#forgetAt = now + forgetIntervalMs;
		for (const [organisation, {at}] of this.#organisations) {
			if (at + retentionMs > now && this.#organisations.size <= maxOrganisations) {
				return;
			}

			this.#organisations.delete(organisation);
		}
	}
}
