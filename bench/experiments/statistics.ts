/** Median and range of values over seeds. */

export type Spread = {
	readonly median: number;
	readonly least: number;
	readonly most: number;
	readonly count: number;
};

/**
 * Calculates the median, the least and the greatest of some values; all are 0 if there are none.
 */
export function calculateSpread(values: readonly number[]): Spread {
	const sorted = values.toSorted((first, second) => first - second);
	const middle = sorted.length / 2;
	const median = sorted.length % 2 === 1
		? sorted[Math.floor(middle)]!
		: ((sorted[middle - 1] ?? 0) + (sorted[middle] ?? 0)) / 2;
	return {
		median, least: sorted[0] ?? 0, most: sorted.at(-1) ?? 0, count: sorted.length,
	};
}
