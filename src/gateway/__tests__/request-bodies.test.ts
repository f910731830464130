import {
	describe, expect, it, vi,
} from 'vitest';
import {RequestBodies} from '../callers/request-bodies.js';
import {GatewayMetrics} from '../metrics.js';
import {BodyBudget, computeBodyBudget} from '../../core/gateway/limits/request-bodies.js';

const megabyte = 1_000_000;

describe('the budget of bodies', () => {
	it('leaves a part to short ones, and takes any single one', () => {
		const budget = new BodyBudget(8 * megabyte);
		expect(budget.hasSpace(100 * megabyte)).toBe(true);
		budget.take(6 * megabyte);
		expect([budget.hasSpace(megabyte), budget.hasSpace(megabyte + 1), budget.hasSpace(1000)]).toEqual([true, false, true]);
		budget.release(6 * megabyte);
		budget.take(100 * megabyte);
		for (let bytes = 0; bytes <= megabyte - 50_000; bytes += 50_000) {
			expect(budget.hasSpace(50_000)).toBe(true);
			budget.take(50_000);
		}

		expect([budget.hasSpace(50_000), budget.hasSpace(0), budget.hasSpace(100_000)]).toEqual([false, true, false]);
	});

	it('is a part of the memory that the process has to spare', () => {
		expect(computeBodyBudget(350)).toBe(50 * megabyte);
		expect(computeBodyBudget(160)).toBe(10 * megabyte);
	});
});

describe('a body that finds no space', () => {
	it('is read once others are done, the longest waiting first, or refused in time', async () => {
		vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
		const bodies = new RequestBodies(8 * megabyte, new GatewayMetrics());
		const first = await bodies.reserve(7 * megabyte);
		const granted: string[] = [];
		const waiting = ['a', 'b', 'c'].map(async name => {
			const space = await bodies.reserve(3 * megabyte);
			granted.push(`${name}: ${space !== undefined}`);
			return space;
		});
		first![Symbol.dispose]();
		await vi.advanceTimersByTimeAsync(0);
		expect([granted, bodies.held]).toEqual([['a: true', 'b: true'], 6 * megabyte]);
		await vi.advanceTimersByTimeAsync(1000);
		expect(granted.at(-1)).toBe('c: false');
		for (const space of await Promise.all(waiting)) {
			space?.[Symbol.dispose]();
		}

		expect(bodies.held).toBe(0);
		vi.useRealTimers();
	});

	it('that states no length is refused where its memory ends', async () => {
		const bodies = new RequestBodies(8 * megabyte, new GatewayMetrics());
		using other = await bodies.reserve(2 * megabyte);
		using space = await bodies.reserve(0);
		expect([space!.extendTo(megabyte), space!.extendTo(5 * megabyte), space!.extendTo(6 * megabyte), bodies.held]).toEqual([true, true, false, 7 * megabyte]);
		other![Symbol.dispose]();
		expect([space!.extendTo(6 * megabyte), bodies.held]).toEqual([true, 6 * megabyte]);
	});
});
