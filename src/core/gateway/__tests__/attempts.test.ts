import {describe, expect, it} from 'vitest';
import {type AttemptEnding} from '../limits/retries.js';
import {Attempts} from '../placement/attempts.js';

const notRun: AttemptEnding = {type: 'not-run', reason: 'refused', isShed: true};
const unknown: AttemptEnding = {type: 'unknown', reason: 'broken'};
const cancelled: AttemptEnding = {type: 'cancelled', reason: 'silent'};

describe('a non-idempotent request', () => {
	const rules = {kind: 'non-idempotent', isResumable: false, attempts: 3} as const;

	it('is retried only if it has certainly not run', () => {
		const attempts = new Attempts(rules);
		attempts.recordSent('a');
		expect(attempts.canRetryAfter(notRun)).toBe(true);
		expect([unknown, cancelled, {type: 'failed', status: 500} as const].map(ending => attempts.canRetryAfter(ending))).toEqual([false, false, false]);
		expect(attempts.canFailOver).toBe(false);
	});
});

describe('an idempotent request', () => {
	const rules = {kind: 'idempotent', isResumable: false, attempts: 2} as const;

	it('is sent to as many upstreams as its route allows', () => {
		const attempts = new Attempts(rules);
		attempts.recordSent('a');
		expect([attempts.canFailOver, attempts.canRetryAfter(unknown)]).toEqual([true, true]);
		attempts.recordSent('b');
		expect([attempts.canFailOver, attempts.canRetryAfter(unknown), attempts.canRetryAfter(notRun)]).toEqual([false, false, false]);
		expect([...attempts.eligibility.excluded]).toEqual(['a', 'b']);
	});

	it('is sent once more for each of two upstreams that crashed under other requests, and never to these again', () => {
		const attempts = new Attempts(rules);
		const results = ['a', 'b', 'c', 'd'].map(upstream => {
			attempts.recordSent(upstream);
			attempts.recordCrashed('a');
			attempts.recordCrashed('b');
			attempts.recordCrashed('c');
			return attempts.canRetryAfter(unknown);
		});
		expect([results, [...attempts.eligibility.excluded]]).toEqual([[true, true, true, false], ['a', 'b', 'c', 'd']]);
	});

	it('does not count upstreams without a connection as attempts, but is given up after eight of them', () => {
		const attempts = new Attempts(rules);
		const results = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(upstream => {
			attempts.recordSent(upstream);
			attempts.recordUnreached(upstream);
			return attempts.canRetryAfter(notRun);
		});
		expect(results).toEqual([true, true, true, true, true, true, true, false]);
		expect(attempts.sent).toBe(0);
	});

	it('can be sent again to an engine that lacked a helper, even if no further engine is allowed', () => {
		const attempts = new Attempts({...rules, attempts: 1});
		attempts.recordSent('a');
		attempts.recordMissingHelper('a', 'h');
		expect(attempts.canRetryAfter(notRun)).toBe(true);
		expect([[...attempts.eligibility.excluded], [...attempts.eligibility.permitted ?? []]]).toEqual([['h'], ['a']]);
		attempts.recordSent('a');
		expect([attempts.sent, attempts.canRetryAfter(notRun)]).toEqual([2, false]);
	});

	it('is given up after four missing helpers', () => {
		const attempts = new Attempts(rules);
		const results = ['h', 'i', 'j', 'k'].map(helper => {
			attempts.recordSent('a');
			attempts.recordMissingHelper('a', helper);
			return attempts.canRetryAfter(notRun);
		});
		expect(results).toEqual([true, true, true, false]);
	});

	it('may ask engines again that lacked memory, but not without end', () => {
		const attempts = new Attempts(rules);
		const results = Array.from({length: 24}, () => {
			attempts.recordMemoryShortage();
			return attempts.canRetryAfter(notRun);
		});
		expect([results.filter(Boolean).length, attempts.eligibility.excluded.size]).toEqual([23, 0]);
	});

	it('whose successor was outrun may go to that engine again, though no further one is allowed', () => {
		const attempts = new Attempts(rules);
		attempts.recordSent('a');
		attempts.recordSent('b');
		expect([attempts.canFailOver, attempts.canRetryAfter(unknown)]).toEqual([false, false]);
		attempts.recordDropped('b');
		expect([attempts.canFailOver, attempts.canRetryAfter(unknown)]).toEqual([true, true]);
		expect([[...attempts.eligibility.excluded], [...attempts.eligibility.permitted ?? []]]).toEqual([['a'], ['b']]);
	});

	it('is not sent to a third engine in place of one that was outrun, and to that one only once', () => {
		const attempts = new Attempts(rules);
		attempts.recordSent('a');
		attempts.recordSent('b');
		attempts.recordDropped('b');
		attempts.recordSent('b');
		expect([attempts.sent, [...attempts.contacted], [...attempts.eligibility.excluded], [...attempts.eligibility.permitted ?? []]]).toEqual([3, ['a', 'b'], ['a', 'b'], []]);
		expect([attempts.canFailOver, attempts.canRetryAfter(unknown), attempts.placementKind]).toEqual([false, false, 'retry']);
	});

	it('may go back to the engine that it left for a successor, but is not moved there for speed', () => {
		const attempts = new Attempts(rules);
		attempts.recordSent('a');
		expect([attempts.canMove, attempts.untried.permitted, [...attempts.untried.excluded]]).toEqual([true, undefined, ['a']]);
		attempts.recordSent('b');
		attempts.recordDropped('a');
		expect([attempts.canFailOver, [...attempts.eligibility.excluded], [...attempts.eligibility.permitted ?? []]]).toEqual([true, ['b'], ['a']]);
		expect([attempts.canMove, [...attempts.untried.excluded], [...attempts.untried.permitted ?? []]]).toEqual([false, ['b', 'a'], []]);
	});

	it('is not sent to a third engine since one that it went back to was out of reach', () => {
		const attempts = new Attempts(rules);
		attempts.recordSent('a');
		attempts.recordSent('b');
		attempts.recordDropped('a');
		attempts.recordSent('a');
		attempts.recordUnreached('a');
		expect([[...attempts.contacted], attempts.sent, [...attempts.eligibility.permitted ?? []]]).toEqual([['a', 'b'], 2, []]);
	});

	it('does not lose further engines of its route by one that was outrun', () => {
		const attempts = new Attempts({...rules, attempts: 3});
		attempts.recordSent('a');
		attempts.recordSent('b');
		attempts.recordDropped('b');
		expect([attempts.canFailOver, attempts.eligibility.permitted, [...attempts.eligibility.excluded]]).toEqual([true, undefined, ['a']]);
	});

	it('is given up after three refused holds, and excludes the engines that refused', () => {
		const attempts = new Attempts(rules);
		const results = [['a', 'b'], ['c'], ['d']].map(engines => {
			attempts.recordRefusedHold(engines);
			return attempts.canRetryAfter(notRun);
		});
		expect(results).toEqual([true, true, false]);
		expect([...attempts.eligibility.excluded]).toEqual(['a', 'b', 'c', 'd']);
	});
});

it('a non-idempotent request is not repeated because its attempt was outrun', () => {
	const attempts = new Attempts({kind: 'non-idempotent', isResumable: false, attempts: 2});
	attempts.recordSent('a');
	attempts.recordDropped('a');
	expect([attempts.canFailOver, attempts.canRetryAfter({type: 'cancelled', reason: 'outrun'})]).toEqual([false, false]);
});

it('a stream can fail over to another engine only if it can be resumed', () => {
	for (const isResumable of [true, false]) {
		const attempts = new Attempts({kind: 'streaming', isResumable, attempts: 2});
		attempts.recordSent('a');
		expect([attempts.canFailOver, attempts.canRetryAfter(unknown), attempts.canRetryAfter(cancelled)]).toEqual([isResumable, isResumable, isResumable]);
	}
});
