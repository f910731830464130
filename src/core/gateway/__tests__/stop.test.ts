import fc from 'fast-check';
import {expect, it} from 'vitest';
import {AnswerTimes} from '../limits/answer-times.js';
import {canFinish, planStop} from '../limits/stop.js';

const grace = fc.double({min: 0.001, max: 60_000, noNaN: true});

it('a stop takes nothing on that it would cut, and is over before the process is killed, whatever its grace period', () => {
	fc.assert(fc.property(grace, fc.double({min: 0, max: 60_000, noNaN: true}), fc.double({min: 0, max: 60_000, noNaN: true}), (time, after, expected) => {
		const stop = planStop(1000, time);
		expect(stop.refusesFrom).toBeLessThanOrEqual(stop.cutsAt);
		expect(stop.cutsAt).toBeLessThanOrEqual(1000 + time);
		if (canFinish(stop, expected, 1000 + after)) {
			expect(1000 + after + expected).toBeLessThanOrEqual(stop.cutsAt);
		}
	}));
});

it('a stop of 7.5 s has time for an answer of 4 s at its begin, and not 3 s later', () => {
	const stop = planStop(0, 7500);
	expect([canFinish(stop, 4000, 0), canFinish(stop, 4000, 3000)]).toEqual([true, false]);
});

it('answers are expected to take as long as the longest of the last ones of their route', () => {
	const times = new AnswerTimes();
	expect(times.estimate('a')).toBeUndefined();
	times.record('a', 900);
	times.record('b', 5);
	for (let index = 0; index < 63; index++) {
		times.record('a', index);
	}

	expect([times.estimate('a'), times.estimate('b')]).toEqual([900, 5]);
	times.record('a', 1);
	expect(times.estimate('a')).toBe(62);
});
