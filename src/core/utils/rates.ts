/** Averages and rates that forget: each sample or second counts less than the one after it. */

/** A mean of samples and how many it was made of, up to where it forgets. */
export type Mean = {
	readonly value: number;
	/** Mean distance of samples from the mean. */
	readonly spread: number;
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

export const noRate: Rate = {amount: 0, at: 0};

/**
 * @param mean - Mean so far.
 * @param sample - Next sample.
 * @param now - Time of the sample, in milliseconds.
 * @param window - Number of samples after which older ones fade.
 * @returns The mean with the sample in it.
 */
export function include(mean: Mean | undefined, sample: number, now: number, window: number): Mean {
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
 * @param amount - What came now.
 * @param now - Time, in milliseconds.
 * @param timeConstant - Time after which an amount counts a third, in milliseconds.
 * @returns The rate with the amount in it.
 */
export function increase(rate: Rate, amount: number, now: number, timeConstant: number): Rate {
	return {amount: decayedAmount(rate, now, timeConstant) + amount, at: now};
}

/**
 * @param rate - Rate.
 * @param now - Time, in milliseconds.
 * @param timeConstant - Time after which an amount counts a third, in milliseconds.
 * @returns Amount per second.
 */
export function perSecond(rate: Rate, now: number, timeConstant: number): number {
	return decayedAmount(rate, now, timeConstant) * 1000 / timeConstant;
}

function decayedAmount(rate: Rate, now: number, timeConstant: number): number {
	return rate.amount * Math.exp((rate.at - now) / timeConstant);
}
