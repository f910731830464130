import {expect, it} from 'vitest';
import {findColdOverruns} from '../cold-engines.js';

function check(count: number, logged: boolean, isCold = true): readonly string[] {
	const at = 10_000;
	const wall = performance.timeOrigin + at;
	const arrivals = Array.from({length: count}, (_, index) => ({
		request: `r${index}`, at: at + index, process: 1, isCold,
	}));
	const requests = arrivals.map(({request}) => ({id: request, host: 0}));
	const line = {
		event: 'upstream-cold', upstream: 'e1', time: new Date(wall - 1000).toISOString(), until: wall + 1000,
	};
	return findColdOverruns([{id: 'e1', arrivals}], requests, [{lines: logged ? [line] : []}], 0);
}

it('reports a cold engine that got too many requests, and no other', () => {
	expect([check(14, true), check(15, false), check(15, true, false)]).toEqual([[], [], []]);
	expect(check(15, true)).toEqual(['e1 was cold and got 15 requests within a second, allowed 14']);
});
