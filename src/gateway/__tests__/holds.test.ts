/** Memory that is held at several engines for one prompt. */
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {ignore} from '../../entry/ignore.js';
import {Hold} from '../holds.js';

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

/** Milliseconds that a silent engine takes to be given up, as its client does. */
const answerTimeout = 600;

function scene() {
	const silent = new Set<string>();
	const released: string[] = [];
	const answer = async (host: string) => {
		if (silent.has(host)) {
			await new Promise(resolve => {
				setTimeout(resolve, answerTimeout);
			});
			throw new Error('no answer');
		}
	};

	const orders = {
		async reserve({host}: {readonly host: string}) {
			await answer(host);
			return true;
		},
		async release({host}: {readonly host: string}) {
			await answer(host);
			released.push(host);
		},
	};
	const parts = ['e0', 'e1', 'e2'].map(name => ({upstream: name, address: {host: name, port: 1}, tokens: 1000}));
	return {silent, released, hold: new Hold('h', parts, orders, {write: ignore})};
}

it('memory at other engines is not held for an engine that fell silent until its answer is given up', async () => {
	const {silent, hold} = scene();
	const lost = vi.fn(ignore);
	expect(await hold.acquire()).toEqual([]);
	hold.watch(lost);
	silent.add('e0');
	await vi.advanceTimersByTimeAsync(2700);
	expect(lost).not.toHaveBeenCalled();
	await vi.advanceTimersByTimeAsync(300);
	expect(lost).toHaveBeenCalledTimes(1);
});

it('one renewal without an answer is not the end of a hold', async () => {
	const {silent, hold} = scene();
	const lost = vi.fn(ignore);
	await hold.acquire();
	hold.watch(lost);
	for (let round = 0; round < 4; round++) {
		silent.add('e1');
		await vi.advanceTimersByTimeAsync(1100);
		silent.clear();
		await vi.advanceTimersByTimeAsync(1100);
	}

	expect(lost).not.toHaveBeenCalled();
});

it('a hold that was given back is not lost any more, and no engine keeps it', async () => {
	const {silent, released, hold} = scene();
	const lost = vi.fn(ignore);
	await hold.acquire();
	hold.watch(lost);
	silent.add('e0');
	await vi.advanceTimersByTimeAsync(1200);
	const ended = hold[Symbol.asyncDispose]();
	await vi.advanceTimersByTimeAsync(5000);
	await ended;
	expect(released).toEqual(['e1', 'e2']);
	expect(lost).not.toHaveBeenCalled();
});
