/** The checks of fuzz runs, on ledgers written by hand. */
import {expect, it} from 'vitest';
import {codes} from '../../../src/core/index.js';
import {violations} from '../invariants.js';
import {Ledger} from '../ledger.js';

const right = 'k key';

/** A key that ran at 100 and was refused, as decided and told at these times. */
function refused(code: number, decidedAt: number, at: number): readonly string[] {
	const ledger = new Ledger();
	ledger.operations.set('o', {id: 'o', idempotent: false, kills: false});
	ledger.executions.push({
		operation: 'o', right, upstream: 'u', at: 100,
	});
	ledger.told.push({
		operation: 'o', right, outcome: {type: 'not-run', code, retryAfter: 1000}, decidedAt, at,
	});
	return violations(ledger).map(each => each.check);
}

it('a refusal that leaves a key open is false if the key had run when it was decided', () => {
	expect(refused(codes.noUpstream, 101, 110)).toEqual(['true-not-run']);
	expect(refused(codes.noUpstream, 95, 110)).toEqual([]);
});

it('a refusal that was passed on late is false if the key has run meanwhile', () => {
	expect(refused(codes.noUpstream, 95, 160)).toEqual(['true-not-run']);
});

it('a refusal for good is false whenever the key runs', () => {
	expect(refused(codes.convicted, 95, 96)).toEqual(['true-not-run']);
});

function crashed(...crashes: ReadonlyArray<readonly [sender: string, sentAt: number, at: number]>): readonly string[] {
	const ledger = new Ledger();
	ledger.crashLimit = 4;
	for (const [sender, sentAt, at] of crashes) {
		ledger.crashes.push({
			operation: 'o', upstream: `u${at}`, failureDomain: 'a', sender, sentAt, at,
		});
	}

	return violations(ledger).map(each => each.check);
}

it('a third crash by a host is beyond the limit unless it had sent the request before the second', () => {
	expect(crashed(['h1', 1, 10], ['h1', 11, 20], ['h1', 15, 30], ['h2', 40, 50], ['h2', 51, 60])).toEqual([]);
	expect(crashed(['h1', 1, 10], ['h1', 11, 20], ['h1', 25, 30], ['h2', 40, 50], ['h2', 51, 60])).toEqual(['few-crashes']);
});

it('a host that crashes four upstreams is beyond the limit however it sent them', () => {
	expect(crashed(['h1', 1, 10], ['h1', 1, 20], ['h1', 1, 30], ['h1', 1, 40])).toEqual(['few-crashes']);
});
