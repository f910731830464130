/** Guards against measuring too little time when a host is suspended or its wall clock is set back. */
import {expect, it} from 'vitest';
import {Clock} from '../clock.js';

class ManualClock extends Clock {
	monotonicTime = 1000;
	wallTime = 50_000;

	override now(): number {
		return this.monotonicTime;
	}

	override wall(): number {
		return this.wallTime;
	}
}

it('counts a suspension during which the monotonic clock stopped', () => {
	const clock = new ManualClock();
	const before = clock.createTimestamp();
	clock.monotonicTime += 10;
	clock.wallTime += 3010;
	expect(clock.getElapsedTime(before)).toBe(3010);
});

it('counts the elapsed time when the wall clock was set back', () => {
	const clock = new ManualClock();
	const before = clock.createTimestamp(100);
	clock.monotonicTime += 500;
	clock.wallTime -= 4000;
	expect(clock.getElapsedTime(before)).toBe(600);
});
