/** Questions to the relay before a decision. */
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {Inquiry} from '../inquiry.js';

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

function scene() {
	const asked: Array<readonly [string, number]> = [];
	const inquiry = new Inquiry((relay, ask) => {
		asked.push([relay, ask]);
	});
	return {
		asked, inquiry, answer(index: number) {
			const [relay, ask] = asked[index]!;
			inquiry.answered(relay, {type: 'load-told', ask});
		},
	};
}

/** Whether a promise is settled by now. */
async function isOver(promise: Promise<void>): Promise<boolean> {
	let isSettled = false;
	void (async () => {
		await promise;
		isSettled = true;
	})();

	await vi.advanceTimersByTimeAsync(0);
	return isSettled;
}

it('requests that come together ask once and go on with the answer', async () => {
	const {asked, inquiry, answer} = scene();
	const both = [inquiry.ask('r1'), inquiry.ask('r1')];
	expect(asked).toEqual([['r1', 1]]);
	expect(await isOver(both[0]!)).toBe(false);
	answer(0);
	expect(await Promise.all(both.map(async each => isOver(each)))).toEqual([true, true]);
});

it('a relay that does not answer is waited for once, and again after it has answered', async () => {
	const {asked, inquiry, answer} = scene();
	const first = inquiry.ask('r1');
	await vi.advanceTimersByTimeAsync(20);
	expect(await isOver(first)).toBe(true);
	expect(await isOver(inquiry.ask('r1'))).toBe(true);
	expect(asked).toHaveLength(2);
	answer(0);
	expect(await isOver(inquiry.ask('r1'))).toBe(false);
});

it('a relay that takes over is waited for though the one before has not answered', async () => {
	const {inquiry, answer} = scene();
	const before = inquiry.ask('r1');
	const after = inquiry.ask('r2');
	await vi.advanceTimersByTimeAsync(5);
	answer(1);
	expect([await isOver(before), await isOver(after)]).toEqual([false, true]);
	await vi.advanceTimersByTimeAsync(20);
	expect(await isOver(before)).toBe(true);
	expect(await isOver(inquiry.ask('r2'))).toBe(false);
});
