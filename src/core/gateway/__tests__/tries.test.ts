import {describe, expect, it} from 'vitest';
import {type AttemptEnding} from '../retries.js';
import {Tries} from '../tries.js';

const notRun: AttemptEnding = {type: 'not-run', reason: 'refused', isShed: true};
const unknown: AttemptEnding = {type: 'unknown', reason: 'broken'};
const cancelled: AttemptEnding = {type: 'cancelled', reason: 'silent'};

describe('a non-idempotent request', () => {
	const rules = {kind: 'non-idempotent', isResumable: false, attempts: 3} as const;

	it('is retried only if it has certainly not run', () => {
		const attempts = new Tries(rules);
		attempts.noteSent('a');
		expect(attempts.mayFollow(notRun)).toBe(true);
		expect([unknown, cancelled, {type: 'failed', status: 500} as const].map(ending => attempts.mayFollow(ending))).toEqual([false, false, false]);
		expect(attempts.mayLeave).toBe(false);
	});
});

describe('an idempotent request', () => {
	const rules = {kind: 'idempotent', isResumable: false, attempts: 2} as const;

	it('is sent to as many upstreams as its route allows', () => {
		const attempts = new Tries(rules);
		attempts.noteSent('a');
		expect([attempts.mayLeave, attempts.mayFollow(unknown)]).toEqual([true, true]);
		attempts.noteSent('b');
		expect([attempts.mayLeave, attempts.mayFollow(unknown), attempts.mayFollow(notRun)]).toEqual([false, false, false]);
		expect([...attempts.eligibility.tried]).toEqual(['a', 'b']);
	});

	it('does not count upstreams without a connection as attempts, but is given up after eight of them', () => {
		const attempts = new Tries(rules);
		const results = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(upstream => {
			attempts.noteSent(upstream);
			attempts.noteUnreached(upstream);
			return attempts.mayFollow(notRun);
		});
		expect(results).toEqual([true, true, true, true, true, true, true, false]);
		expect(attempts.sent).toBe(0);
	});

	it('can be sent again to an engine that lacked a helper, even if no further engine is allowed', () => {
		const attempts = new Tries({...rules, attempts: 1});
		attempts.noteSent('a');
		attempts.noteMissedHelper('a', 'h');
		expect(attempts.mayFollow(notRun)).toBe(true);
		expect([[...attempts.eligibility.tried], [...attempts.eligibility.permitted ?? []]]).toEqual([['h'], ['a']]);
		attempts.noteSent('a');
		expect([attempts.sent, attempts.mayFollow(notRun)]).toEqual([2, false]);
	});

	it('is given up after four missing helpers', () => {
		const attempts = new Tries(rules);
		const results = ['h', 'i', 'j', 'k'].map(helper => {
			attempts.noteSent('a');
			attempts.noteMissedHelper('a', helper);
			return attempts.mayFollow(notRun);
		});
		expect(results).toEqual([true, true, true, false]);
	});

	it('is given up after three refused holds, and excludes the engines that refused', () => {
		const attempts = new Tries(rules);
		const results = [['a', 'b'], ['c'], ['d']].map(engines => {
			attempts.noteRefusedHold(engines);
			return attempts.mayFollow(notRun);
		});
		expect(results).toEqual([true, true, false]);
		expect([...attempts.eligibility.tried]).toEqual(['a', 'b', 'c', 'd']);
	});
});

it('a stream can fail over to another engine only if it can be resumed', () => {
	for (const isResumable of [true, false]) {
		const attempts = new Tries({kind: 'streaming', isResumable, attempts: 2});
		attempts.noteSent('a');
		expect([attempts.mayLeave, attempts.mayFollow(unknown), attempts.mayFollow(cancelled)]).toEqual([isResumable, isResumable, isResumable]);
	}
});
