/** Time that passes while a host is suspended or its time of day is set. */
import {expect, it} from 'vitest';
import {Clock} from '../clock.js';

class SetClock extends Clock {
	monotonic = 1000;
	day = 50_000;

	override now(): number {
		return this.monotonic;
	}

	override wall(): number {
		return this.day;
	}
}

it('counts a suspension in which the monotonic clock stood still', () => {
	const clock = new SetClock();
	const before = clock.moment();
	clock.monotonic += 10;
	clock.day += 3010;
	expect(clock.since(before)).toBe(3010);
});

it('counts what has passed though the time of day was set back', () => {
	const clock = new SetClock();
	const before = clock.moment(100);
	clock.monotonic += 500;
	clock.day -= 4000;
	expect(clock.since(before)).toBe(600);
});
