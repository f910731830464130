/** Tests the checks of fuzz runs on hand-written ledgers. */
import {expect, it} from 'vitest';
import {codes} from '../../../src/core/index.js';
import {findViolations} from '../invariants.js';
import {Ledger} from '../ledger.js';

const right = 'k key';

/** Returns the failed checks for a key that ran at 100 and whose refusal was decided and received at these times. */
function checkRefusal(code: number, decidedAt: number, at: number): readonly string[] {
	const ledger = new Ledger();
	ledger.operations.set('o', {id: 'o', idempotent: false, isPoison: false});
	ledger.executions.push({
		operation: 'o', right, upstream: 'u', at: 100,
	});
	ledger.receivedAnswers.push({
		operation: 'o', right, outcome: {type: 'not-run', code, retryAfter: 1000}, decidedAt, at,
	});
	return findViolations(ledger).map(each => each.check);
}

it('a refusal that leaves a key retryable is false if the key had run before the decision', () => {
	expect(checkRefusal(codes.noUpstream, 101, 110)).toEqual(['true-not-run']);
	expect(checkRefusal(codes.noUpstream, 95, 110)).toEqual([]);
});

it('a refusal that was forwarded late is false if the key has run in the meantime', () => {
	expect(checkRefusal(codes.noUpstream, 95, 160)).toEqual(['true-not-run']);
});

it('a final refusal is false whenever the key runs', () => {
	expect(checkRefusal(codes.convicted, 95, 96)).toEqual(['true-not-run']);
});

function checkCrashes(...crashes: ReadonlyArray<readonly [sender: string, sentAt: number, at: number]>): readonly string[] {
	const ledger = new Ledger();
	ledger.crashLimit = 4;
	for (const [sender, sentAt, at] of crashes) {
		ledger.crashes.push({
			operation: 'o', upstream: `u${at}`, failureDomain: 'a', sender, sentAt, at,
		});
	}

	return findViolations(ledger).map(each => each.check);
}

it('a third crash by a host exceeds the limit unless the host had sent the request before the second crash', () => {
	expect(checkCrashes(['h1', 1, 10], ['h1', 11, 20], ['h1', 15, 30], ['h2', 40, 50], ['h2', 51, 60])).toEqual([]);
	expect(checkCrashes(['h1', 1, 10], ['h1', 11, 20], ['h1', 25, 30], ['h2', 40, 50], ['h2', 51, 60])).toEqual(['few-crashes']);
});

it('a host that crashes four upstreams exceeds the limit whenever it sent the requests', () => {
	expect(checkCrashes(['h1', 1, 10], ['h1', 1, 20], ['h1', 1, 30], ['h1', 1, 40])).toEqual(['few-crashes']);
});
