/** Fits straight lines to measured points. */

export type Point = {readonly x: number; readonly y: number};

export type FittedLine = {
	readonly intercept: number;
	readonly slope: number;
	/** Root mean square distance of the points from the line. */
	readonly residual: number;
};

function calculateMean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / Math.max(values.length, 1);
}

/**
 * Fits a line by least squares.
 *
 * @param points - Measured points, at least two of them with different x.
 */
export function fitLine(points: readonly Point[]): FittedLine {
	const meanX = calculateMean(points.map(({x}) => x));
	const meanY = calculateMean(points.map(({y}) => y));
	const covariance = calculateMean(points.map(({x, y}) => (x - meanX) * (y - meanY)));
	const variance = calculateMean(points.map(({x}) => (x - meanX) ** 2));
	const slope = covariance / variance;
	const intercept = meanY - (slope * meanX);
	const residual = Math.sqrt(calculateMean(points.map(({x, y}) => (y - intercept - (slope * x)) ** 2)));
	return {intercept, slope, residual};
}
