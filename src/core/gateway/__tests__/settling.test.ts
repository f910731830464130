import {describe, expect, it} from 'vitest';
import {Settling} from '../limits/settling.js';

function runUntil(settling: Settling, from: number, to: number, offset = 0): void {
	for (let now = from; now <= to; now += 200) {
		settling.observe(now, now + offset);
	}
}

describe('a host', () => {
	it('is settled two seconds after its start', () => {
		const settling = new Settling(0, 0);
		runUntil(settling, 0, 2000);
		expect([settling.computeRemaining(500), settling.computeRemaining(2000)]).toEqual([1500, 0]);
	});

	it.each([
		['the monotonic clock went on', 9000, 9000],
		['the monotonic clock stopped', 3200, 9000],
	])('isn\'t settled right after a suspension during which %s', (_, now, wall) => {
		const settling = new Settling(0, 0);
		runUntil(settling, 0, 3000);
		settling.observe(now, wall);
		expect(settling.computeRemaining(now)).toBe(1000);
		runUntil(settling, now, now + 1000, wall - now);
		expect(settling.computeRemaining(now + 1000)).toBe(0);
	});
});
