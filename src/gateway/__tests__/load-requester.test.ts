/** Requests for load updates before a placement. */
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {LoadRequester} from '../sharing/load-requester.js';

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

function setUp() {
	const sent: Array<readonly [string, number]> = [];
	const requester = new LoadRequester((relay, ask) => {
		sent.push([relay, ask]);
	});
	return {
		sent, requester, respond(index: number) {
			const [relay, ask] = sent[index]!;
			requester.handleResponse(relay, {type: 'load-told', ask});
		},
	};
}

/** Returns whether a promise is resolved by now. */
async function isResolved(promise: Promise<void>): Promise<boolean> {
	let isSettled = false;
	void (async () => {
		await promise;
		isSettled = true;
	})();

	await vi.advanceTimersByTimeAsync(0);
	return isSettled;
}

it('concurrent callers share one request and continue with its response', async () => {
	const {sent, requester, respond} = setUp();
	const both = [requester.requestUpdates('r1'), requester.requestUpdates('r1')];
	expect(sent).toEqual([['r1', 1]]);
	expect(await isResolved(both[0]!)).toBe(false);
	respond(0);
	expect(await Promise.all(both.map(async each => isResolved(each)))).toEqual([true, true]);
});

it('callers wait once for a relay that does not respond, and again after it has responded', async () => {
	const {sent, requester, respond} = setUp();
	const first = requester.requestUpdates('r1');
	await vi.advanceTimersByTimeAsync(20);
	expect(await isResolved(first)).toBe(true);
	expect(await isResolved(requester.requestUpdates('r1'))).toBe(true);
	expect(sent).toHaveLength(2);
	respond(0);
	expect(await isResolved(requester.requestUpdates('r1'))).toBe(false);
});

it('callers wait for a new relay although the previous one has not responded', async () => {
	const {requester, respond} = setUp();
	const before = requester.requestUpdates('r1');
	const after = requester.requestUpdates('r2');
	await vi.advanceTimersByTimeAsync(5);
	respond(1);
	expect([await isResolved(before), await isResolved(after)]).toEqual([false, true]);
	await vi.advanceTimersByTimeAsync(20);
	expect(await isResolved(before)).toBe(true);
	expect(await isResolved(requester.requestUpdates('r2'))).toBe(false);
});
