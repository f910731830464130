/** Use of a service by organisations: decayed sums of the weights of their requests, and what follows from them. */

/** Time constants, in milliseconds, over which present and usual use are averaged. */
export const presentWindowMs = 2000;
export const usualWindowMs = 120_000;

/** Multiple of its usual use up to which an organisation is not held back. */
const toleratedFactor = 2;

/**
 * Multiple of the use beyond the usual one that an organisation may have before it is held back, by the ranks that its priority moves it,
 * from -2 to 2: one with a worse priority gives way first. Random variation isn't scaled, so that usual use is served with any priority.
 */
const toleranceScales = [1.5, 1.25, 1, 0.75, 0.5] as const;

/** Random variation of its use, in standard deviations, up to which an organisation is not held back. */
const toleratedDeviations = 3;

/** Number of requests of the usual size by which an organisation may exceed this at once: a few large ones are no trend. */
const toleratedRequests = 2;

/** Least decayed weight that counts as use. */
const minUse = 1e-6;

/** Longest part of a silence, in milliseconds, that lowers usual use: an organisation that returns is served as before. */
export const maxCountedSilenceMs = 2000;

/** Sums of the weights of requests. The contribution of each one decays over a window. */
export type Sums = {
	present: number;
	usual: number;
	/** Sum of the squared weights over the usual window, for the random variation. */
	squares: number;
	/** Monotonic time, in milliseconds, as of which the sums are decayed. */
	at: number;
};

/** Use by one organisation. Times are monotonic, in milliseconds. */
export type OrganisationUse = Sums & {
	/** Milliseconds of use that the last two sums cover; decays like them. */
	covered: number;
	/** Weights over the usual window with all silences. */
	overall: number;
	/** Milliseconds for which the mean use is assumed in addition. */
	readonly assumed: number;
	/** Until when it is held to its usual use, by the ranks that its priority moves it, from -2 to 2; absent if it never was. */
	restrictedUntil?: number[];
};

function decay(sums: Sums, elapsed: number, usualElapsed: number): void {
	const usualDecay = Math.exp(-usualElapsed / usualWindowMs);
	sums.present *= Math.exp(-elapsed / presentWindowMs);
	sums.usual *= usualDecay;
	sums.squares *= usualDecay;
	sums.at += elapsed;
}

/**
 * @param total - Sums of all organisations, which are decayed as of the time.
 * @param now - Monotonic time in milliseconds.
 */
export function updateTotal(total: Sums, now: number): void {
	const elapsed = Math.max(now - total.at, 0);
	decay(total, elapsed, elapsed);
}

/**
 * @param use - Sums of one organisation, which are decayed as of the time.
 * @param now - Monotonic time in milliseconds.
 */
export function updateUse(use: OrganisationUse, now: number): void {
	const elapsed = Math.max(now - use.at, 0);
	const counted = Math.min(elapsed, maxCountedSilenceMs);
	decay(use, elapsed, counted);
	use.covered = (use.covered * Math.exp(-counted / usualWindowMs)) + counted;
	use.overall *= Math.exp(-elapsed / usualWindowMs);
}

/**
 * @param use - Sums of one organisation.
 * @param now - Monotonic time in milliseconds.
 * @returns Its use within the usual window, silences included, decayed as of the time.
 */
export function computeOverall({overall, at}: OrganisationUse, now: number): number {
	return overall * Math.exp(Math.min(at - now, 0) / usualWindowMs);
}

/**
 * @param sums - Sums that requests are added to.
 * @param weight - Weight of each request, relative to a usual one.
 * @param count - Number of requests.
 */
export function add(sums: Sums, weight: number, count: number): void {
	sums.present += weight * count;
	sums.usual += weight * count;
	sums.squares += (weight ** 2) * count;
}

/** Returns the part of a window, in milliseconds, that a history of some length covers: sums of a short history are too small otherwise. */
function computeCoveredTime(windowMs: number, history: number): number {
	return windowMs * -Math.expm1(-history / windowMs);
}

/** Use of an organisation, in weight per millisecond. */
export type Levels = {
	readonly present: number;
	/** Use that is always allowed: its usual one, or the mean of all organisations if that is more. */
	readonly usual: number;
	/** Use up to which it isn't held back, by the ranks that its priority moves it, from -2 to 2: the last one is the least. */
	readonly tolerated: readonly number[];
};

/**
 * @param use - Sums of an organisation, as of the same time as the total.
 * @param total - Sums of all organisations.
 * @param organisations - Number of organisations.
 * @param history - Milliseconds for which the use of the service was observed.
 * @returns Use of the organisation; undefined if it is the only one.
 */
export function computeLevels(use: OrganisationUse, total: Sums, organisations: number, history: number): Levels | undefined {
	const presentTime = computeCoveredTime(presentWindowMs, history);
	const usualTime = computeCoveredTime(usualWindowMs, history);
	const others = {present: (total.present - use.present) / presentTime, usual: (total.usual - use.overall) / usualTime};
	// Rounding errors of the sums must not be taken for the use of others.
	if (others.usual * usualTime < minUse) {
		return undefined;
	}

	const mean = total.usual / organisations / usualTime;
	const knownTime = Math.max(use.covered + use.assumed, presentWindowMs);
	const usual = (use.usual + (mean * use.assumed)) / knownTime;
	const requestWeight = total.squares / total.usual;
	const squares = Math.max(use.squares / knownTime, usual * requestWeight);
	const variation = ((Math.sqrt(squares * presentTime / 2) * toleratedDeviations) + (requestWeight * toleratedRequests)) / presentTime;
	// If all use more than usual, for example as a network partition ends, nobody is held back for as much.
	const growth = Math.max(others.present / others.usual, 1);
	return {
		present: use.present / presentTime,
		usual: Math.max(usual, mean) * growth,
		tolerated: toleranceScales.map(scale => Math.max(usual * (1 + ((toleratedFactor - 1) * scale)), usual + (mean * scale) + variation) * growth),
	};
}
