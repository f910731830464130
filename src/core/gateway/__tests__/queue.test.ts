import {describe, expect, it} from 'vitest';
import {estimateSlotWait, type Occupant} from '../engines/queue.js';
import {type EngineModel} from '../types.js';
import {urgencyOf} from '../engines/urgency.js';
import {compareWithRoute} from '../limits/priority.js';

/** An engine with two slots, whose answers usually take a second. */
const model: EngineModel = {
	slots: 2, memory: 100_000, stride: 10, step: 1, perRequest: 0.01, perThousand: 0.01, readRate: 200, pairs: 0.01, chunk: 2048, hop: 0.1, usualPrompt: 5000, usualAnswer: 1000,
};
const iteration = 10;
const urgency = 4;

function decoding(decodeTime: number): Occupant {
	return {decodeTime, urgency};
}

const waiting: Occupant = {urgency};

describe('the wait for a slot', () => {
	it('is zero if one is free', () => {
		expect(estimateSlotWait(model, [decoding(0)], iteration, urgency)).toBe(0);
	});

	it('lasts until the first answer is expected to end', () => {
		expect(estimateSlotWait(model, [decoding(700), decoding(0)], iteration, urgency)).toBe(300);
	});

	it('assumes a share of the usual duration for an answer that has exceeded it', () => {
		expect(estimateSlotWait(model, [decoding(1900), decoding(0)], iteration, urgency)).toBe(300);
	});

	it('counts waiting requests, except for less urgent ones', () => {
		const running = [decoding(700), decoding(400)];
		expect(estimateSlotWait(model, [...running, waiting], iteration, urgency)).toBe(600);
		expect(estimateSlotWait(model, [...running, waiting], iteration, urgency - 1)).toBe(300);
		expect(estimateSlotWait(model, [...running, waiting, waiting], iteration, urgency)).toBe(1300);
	});

	it('is the duration of a usual answer if nothing is decoding yet', () => {
		expect(estimateSlotWait(model, [waiting, waiting], iteration, urgency)).toBe(1000);
	});
});

it('answers that have begun rank first, then prompts by their length', () => {
	const ranks = [
		urgencyOf({tokens: 200_000, answer: 100}, true),
		...[1000, 40_000, 200_000].map(tokens => urgencyOf({tokens, answer: 100}, false)),
	];
	expect(ranks).toEqual(ranks.toSorted((a, b) => a - b));
	expect(new Set(ranks).size).toBe(ranks.length);
});

describe('priority of an organisation', () => {
	const prompts = [1000, 40_000, 200_000].map(tokens => ({tokens, answer: 100}));

	it('changes no rank without one, or with the same as the route', () => {
		const unchanged = prompts.map(prompt => urgencyOf(prompt, false));
		expect(unchanged).toEqual([2, 4, 5]);
		for (const own of [undefined, 3]) {
			expect(prompts.map(prompt => urgencyOf(prompt, false, compareWithRoute(own, 3)))).toEqual(unchanged);
		}
	});

	it('moves by the difference, by at most two ranks, no begun answer back and no other request ahead of one', () => {
		const ranksOf = (own: number) => [...prompts.map(prompt => urgencyOf(prompt, false, compareWithRoute(own, 3))), urgencyOf(prompts[0]!, true, compareWithRoute(own, 3))];
		expect([0, 1, 2, 4, 5, 9].map(own => ranksOf(own))).toEqual([
			[1, 2, 3, 0], [1, 2, 3, 0], [1, 3, 4, 0], [3, 5, 6, 1], [4, 6, 7, 1], [4, 6, 7, 1],
		]);
	});
});
