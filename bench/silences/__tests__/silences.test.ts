/** Short runs of the fuzz in virtual time, and mutations of the gateway that its checks must find. */
import {describe, expect, it} from 'vitest';
import {mutations} from '../mutations.js';
import {runSilences} from '../run.js';

describe('answers of engines that fall silent during changes, drains and spent budgets', () => {
	it.each([1, 2, 4, 5, 6, 15, 20, 35, 45, 75, 1003, 1007])('are neither cut, nor repeated, nor run twice without need (seed %i)', async seed => {
		const {breaches, requests} = await runSilences(seed);
		expect(breaches).toEqual([]);
		expect(requests).toBeGreaterThan(50);
	});
});

it('the same seed gives the same run', async () => {
	const [first, second] = [await runSilences(3), await runSilences(3)];
	expect(second).toEqual(first);
});

/** Seeds of runs that show each mutation, and the check that finds it. */
const found = [
	['attempts are cancelled before their successor is secured', 26, 'whole'],
	['bytes are written by attempts that do not lead', 5, 'whole'],
	['successors are sent without the retry budget', 26, 'budget'],
	['a silence of all engines ends with the first that sends', 1007, 'repetitions'],
	['silent engines count as live', 13, 'repetitions'],
	['attempts at silent engines have no successors', 45, 'whole'],
] as const;

describe('the checks find that', () => {
	it.each(found)('%s (seed %i)', async (name, seed, check) => {
		const mutation = mutations.find(each => each.name === name)!;
		const restore = mutation.apply();
		try {
			const {breaches} = await runSilences(seed);
			expect(breaches.map(breach => breach.check)).toContain(check);
		} finally {
			restore();
		}

		const {breaches} = await runSilences(seed);
		expect(breaches).toEqual([]);
	});
});
