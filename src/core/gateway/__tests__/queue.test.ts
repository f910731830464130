import {describe, expect, it} from 'vitest';
import {estimateSlotWait, type Occupant} from '../queue.js';
import {type EngineModel} from '../types.js';
import {urgencyOf} from '../urgency.js';

/** An engine with two places, whose answers take a second as a rule. */
const model: EngineModel = {
	slots: 2, memory: 100_000, stride: 10, step: 1, perRequest: 0.01, perThousand: 0.01, readRate: 200, pairs: 0.01, chunk: 2048, hop: 0.1, usualPrompt: 5000, usualAnswer: 1000,
};
const pass = 10;
const urgency = 4;

function written(writtenFor: number): Occupant {
	return {decodeTime: writtenFor, urgency};
}

const waiting: Occupant = {urgency};

describe('the wait for a place', () => {
	it('is none where one is free', () => {
		expect(estimateSlotWait(model, [written(0)], pass, urgency)).toBe(0);
	});

	it('lasts until the first answer is expected to end', () => {
		expect(estimateSlotWait(model, [written(700), written(0)], pass, urgency)).toBe(300);
	});

	it('goes on for a part of the usual time where an answer has outlived it', () => {
		expect(estimateSlotWait(model, [written(1900), written(0)], pass, urgency)).toBe(300);
	});

	it('counts those who wait already, but not those who wait with less urgency', () => {
		const running = [written(700), written(400)];
		expect(estimateSlotWait(model, [...running, waiting], pass, urgency)).toBe(600);
		expect(estimateSlotWait(model, [...running, waiting], pass, urgency - 1)).toBe(300);
		expect(estimateSlotWait(model, [...running, waiting, waiting], pass, urgency)).toBe(1300);
	});

	it('is a usual answer where nothing is written yet', () => {
		expect(estimateSlotWait(model, [waiting, waiting], pass, urgency)).toBe(1000);
	});
});

it('an answer that has begun goes first, then prompts by their length', () => {
	const ranks = [
		urgencyOf({tokens: 200_000, answer: 100}, true),
		...[1000, 40_000, 200_000].map(tokens => urgencyOf({tokens, answer: 100}, false)),
	];
	expect(ranks).toEqual(ranks.toSorted((a, b) => a - b));
	expect(new Set(ranks).size).toBe(ranks.length);
});
