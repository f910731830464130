import {describe, expect, it} from 'vitest';
import {type AttemptEnding} from '../retries.js';
import {Tries} from '../tries.js';

const notRun: AttemptEnding = {type: 'not-run', reason: 'refused', isShed: true};
const unknown: AttemptEnding = {type: 'unknown', reason: 'broken'};
const givenUp: AttemptEnding = {type: 'cancelled', reason: 'silent'};

describe('a request that may run only once', () => {
	const once = {kind: 'non-idempotent', isResumable: false, attempts: 3} as const;

	it('goes on after "not run", and never where it may have run', () => {
		const tries = new Tries(once);
		tries.noteSent('a');
		expect(tries.mayFollow(notRun)).toBe(true);
		expect([unknown, givenUp, {type: 'failed', status: 500} as const].map(ending => tries.mayFollow(ending))).toEqual([false, false, false]);
		expect(tries.mayLeave).toBe(false);
	});
});

describe('a request that may be repeated', () => {
	const safe = {kind: 'idempotent', isResumable: false, attempts: 2} as const;

	it('is sent to as many upstreams as its route allows', () => {
		const tries = new Tries(safe);
		tries.noteSent('a');
		expect([tries.mayLeave, tries.mayFollow(unknown)]).toEqual([true, true]);
		tries.noteSent('b');
		expect([tries.mayLeave, tries.mayFollow(unknown), tries.mayFollow(notRun)]).toEqual([false, false, false]);
		expect([...tries.eligibility.tried]).toEqual(['a', 'b']);
	});

	it('does not count upstreams without a connection as attempts, but gives up after eight of them', () => {
		const tries = new Tries(safe);
		const goesOn = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(upstream => {
			tries.noteSent(upstream);
			tries.noteUnreached(upstream);
			return tries.mayFollow(notRun);
		});
		expect(goesOn).toEqual([true, true, true, true, true, true, true, false]);
		expect(tries.sent).toBe(0);
	});

	it('asks an engine again that missed a helper, also where no further engine may be asked', () => {
		const tries = new Tries({...safe, attempts: 1});
		tries.noteSent('a');
		tries.noteMissedHelper('a', 'h');
		expect(tries.mayFollow(notRun)).toBe(true);
		expect([[...tries.eligibility.tried], [...tries.eligibility.permitted ?? []]]).toEqual([['h'], ['a']]);
		tries.noteSent('a');
		expect([tries.sent, tries.mayFollow(notRun)]).toEqual([2, false]);
	});

	it('does not ask again and again for helpers', () => {
		const tries = new Tries(safe);
		const goesOn = ['h', 'i', 'j', 'k'].map(helper => {
			tries.noteSent('a');
			tries.noteMissedHelper('a', helper);
			return tries.mayFollow(notRun);
		});
		expect(goesOn).toEqual([true, true, true, false]);
	});

	it('looks for memory three times, each time elsewhere', () => {
		const tries = new Tries(safe);
		const goesOn = [['a', 'b'], ['c'], ['d']].map(engines => {
			tries.noteRefusedHold(engines);
			return tries.mayFollow(notRun);
		});
		expect(goesOn).toEqual([true, true, false]);
		expect([...tries.eligibility.tried]).toEqual(['a', 'b', 'c', 'd']);
	});
});

it('a stream goes on elsewhere only if it can be resumed', () => {
	for (const isResumable of [true, false]) {
		const tries = new Tries({kind: 'streaming', isResumable, attempts: 2});
		tries.noteSent('a');
		expect([tries.mayLeave, tries.mayFollow(unknown), tries.mayFollow(givenUp)]).toEqual([isResumable, isResumable, isResumable]);
	}
});
