import {describe, expect, it} from 'vitest';
import {violations} from '../bounds.js';
import {fitLine} from '../fit.js';
import {spreadOf} from '../statistics.js';
import {type Summary} from '../summary.js';

const none = spreadOf([]);
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
	it('takes medians and spread', () => {
		expect(spreadOf([3, 1, 2])).toEqual({
			median: 2, least: 1, most: 3, count: 3,
		});
		expect(spreadOf([4, 1, 2, 3]).median).toBe(2.5);
	});

	it('fits a line and says how far the points are from it', () => {
		const exact = fitLine([1, 2, 5].map(x => ({x, y: 3 + (2 * x)})));
		expect(exact.slope).toBeCloseTo(2);
		expect(exact.intercept).toBeCloseTo(3);
		expect(exact.residual).toBeCloseTo(0);
		expect(fitLine([{x: 0, y: 0}, {x: 1, y: 2}, {x: 2, y: 0}]).residual).toBeGreaterThan(0.9);
	});

	it('names a ratio that left its bounds or is missing', () => {
		expect(violations(summary, {d: {slowdown: {most: 1.5}}})).toEqual([]);
		expect(violations(summary, {d: {slowdown: {most: 1.2}, other: {least: 1}}})).toHaveLength(2);
		expect(violations(summary, {e: {slowdown: {most: 1.2}}})).toEqual([]);
	});
});
