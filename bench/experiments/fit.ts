/** Straight lines through measured points. */

export type Point = {readonly x: number; readonly y: number};

export type Line = {
	readonly intercept: number;
	readonly slope: number;
	/** Root mean square distance of the points from the line. */
	readonly residual: number;
};

function meanOf(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / Math.max(values.length, 1);
}

/**
 * @param points - Measured points, at least two with different x.
 * @returns The line of least squares.
 */
export function fitLine(points: readonly Point[]): Line {
	const meanX = meanOf(points.map(({x}) => x));
	const meanY = meanOf(points.map(({y}) => y));
	const covariance = meanOf(points.map(({x, y}) => (x - meanX) * (y - meanY)));
	const variance = meanOf(points.map(({x}) => (x - meanX) ** 2));
	const slope = covariance / variance;
	const intercept = meanY - (slope * meanX);
	const residual = Math.sqrt(meanOf(points.map(({x, y}) => (y - intercept - (slope * x)) ** 2)));
	return {intercept, slope, residual};
}
