import {describe, expect, it} from 'vitest';
import {findViolations} from '../bounds.js';
import {fitLine} from '../fit.js';
import {calculateSpread} from '../statistics.js';
import {type Summary} from '../summary.js';

const none = calculateSpread([]);
const summary: Summary = {
	deployment: 'd',
	seeds: 1,
	policies: {},
	overload: {
		goodput: none, refusal: none, late: 0, wrong: 0, smallOverLarge: none,
	},
	ratios: {slowdown: 1.3},
	outcomes: {},
	wrongAnswers: 0,
};

describe('figures', () => {
	it('calculates the median and the range', () => {
		expect(calculateSpread([3, 1, 2])).toEqual({
			median: 2, least: 1, most: 3, count: 3,
		});
		expect(calculateSpread([4, 1, 2, 3]).median).toBe(2.5);
	});

	it('fits a line and calculates the residual of the points', () => {
		const exact = fitLine([1, 2, 5].map(x => ({x, y: 3 + (2 * x)})));
		expect(exact.slope).toBeCloseTo(2);
		expect(exact.intercept).toBeCloseTo(3);
		expect(exact.residual).toBeCloseTo(0);
		expect(fitLine([{x: 0, y: 0}, {x: 1, y: 2}, {x: 2, y: 0}]).residual).toBeGreaterThan(0.9);
	});

	it('reports a ratio that is out of bounds or missing', () => {
		expect(findViolations(summary, {d: {slowdown: {most: 1.5}}})).toEqual([]);
		expect(findViolations(summary, {d: {slowdown: {most: 1.2}, other: {least: 1}}})).toHaveLength(2);
		expect(findViolations(summary, {e: {slowdown: {most: 1.2}}})).toEqual([]);
	});
});
