/** Medians and spread over seeds. */

export type Spread = {
	readonly median: number;
	readonly least: number;
	readonly most: number;
	readonly count: number;
};

/**
 * @param values - Measured values.
 * @returns Their median, least and most; all 0 where there are none.
 */
export function spreadOf(values: readonly number[]): Spread {
	const sorted = values.toSorted((first, second) => first - second);
	const middle = sorted.length / 2;
	const median = sorted.length % 2 === 1
		? sorted[Math.floor(middle)]!
		: ((sorted[middle - 1] ?? 0) + (sorted[middle] ?? 0)) / 2;
	return {
		median, least: sorted[0] ?? 0, most: sorted.at(-1) ?? 0, count: sorted.length,
	};
}
