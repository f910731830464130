/** Exponentially decaying averages and rates: older samples count less than newer ones. */

/** A moving mean of samples. */
export type Mean = {
	readonly value: number;
	/** Mean absolute deviation of the samples. */
	readonly spread: number;
	/** Number of samples, at most the window. */
	readonly count: number;
	/** Time of the last sample, in milliseconds. */
	readonly at: number;
};

/** An amount that decays with time. */
export type Rate = {
	/** Decayed amount as of `at`. */
	readonly amount: number;
	/** In milliseconds. */
	readonly at: number;
};

export const zeroRate: Rate = {amount: 0, at: 0};

/**
 * @param mean - Mean so far.
 * @param sample - Next sample.
 * @param now - Time of the sample, in milliseconds.
 * @param window - Number of samples from which older ones decay.
 * @returns The mean including the sample.
 */
export function addSample(mean: Mean | undefined, sample: number, now: number, window: number): Mean {
	const count = Math.min((mean?.count ?? 0) + 1, window);
	const before = mean?.value ?? 0;
	const distance = mean === undefined ? 0 : Math.abs(sample - before);
	const spread = mean?.spread ?? 0;
	return {
		value: before + ((sample - before) / count), spread: spread + ((distance - spread) / count), count, at: now,
	};
}

/**
 * @param rate - Rate so far.
 * @param amount - Amount to add.
 * @param now - Time, in milliseconds.
 * @param timeConstant - Time constant of the decay in milliseconds; after it, an amount counts about a third (1/e).
 * @returns The rate including the amount.
 */
export function addAmount(rate: Rate, amount: number, now: number, timeConstant: number): Rate {
	return {amount: decayedAmount(rate, now, timeConstant) + amount, at: now};
}

/**
 * @param rate - Rate.
 * @param now - Time, in milliseconds.
 * @param timeConstant - Time constant of the decay in milliseconds; after it, an amount counts about a third (1/e).
 * @returns Amount per second.
 */
export function getRatePerSecond(rate: Rate, now: number, timeConstant: number): number {
	return decayedAmount(rate, now, timeConstant) * 1000 / timeConstant;
}

function decayedAmount(rate: Rate, now: number, timeConstant: number): number {
	return rate.amount * Math.exp((rate.at - now) / timeConstant);
}
