/** Last times at which prompts that wait for memory can be sent. */
import {expect, it} from 'vitest';
import {computeLatestStart, findUsualParts} from '../engines/latest-start.js';
import {type Demand, type EngineModel} from '../types.js';

const model: EngineModel = {
	slots: 8, memory: 200_000, stride: 40, step: 1, perRequest: 0, perThousand: 0, readRate: 200, pairs: 0.14, chunk: 2048, hop: 0, usualPrompt: 10_000, usualAnswer: 1000,
};

const demand: Demand = {
	id: 'r', service: 's', kind: 'streaming', priority: 1, arrived: 1000, due: 7000, deadline: 16_000,
};

it('expects the fewest engines that hold a prompt, or more if these prefill it too late', () => {
	expect([100_000, 300_000, 600_000].map(tokens => findUsualParts(model, demand, {tokens, answer: 100}, 16))).toEqual([1, 2, 15]);
});

it('starts the largest prompts while they can still meet their latency target, which the fewest engines would miss', () => {
	const prompt = {tokens: 600_000, answer: 100};
	expect(computeLatestStart(model, demand, prompt, 4)).toBeGreaterThan(demand.due);
	const latest = computeLatestStart(model, demand, prompt, findUsualParts(model, demand, prompt, 16));
	expect([latest > demand.arrived, latest < demand.due]).toEqual([true, true]);
});

it('counts with the deadline once an answer has begun, as its target is past', () => {
	const prompt = {tokens: 100_000, answer: 100};
	expect(computeLatestStart(model, {...demand, hasBegun: true}, prompt, 1) - computeLatestStart(model, demand, prompt, 1)).toBe(9000);
});
