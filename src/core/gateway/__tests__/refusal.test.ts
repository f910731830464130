import {describe, expect, it} from 'vitest';
import {estimatePrefill} from '../engines/engine.js';
import {defaultPolicy} from '../placement/policy.js';
import {isHarmful, estimateRetryDelay} from '../placement/refusal.js';
import {type EngineModel} from '../types.js';

const model: EngineModel = {
	slots: 11, memory: 232_000, stride: 43, step: 1, perRequest: 0, perThousand: 0, readRate: 200, pairs: 0.1, chunk: 2048, hop: 0, usualPrompt: 12_000, usualAnswer: 1300,
};

it('a request is refused only if its expected loss exceeds its weight', () => {
	expect(isHarmful({loss: 0.8}, 1, defaultPolicy)).toBe(false);
	expect(isHarmful({loss: 138}, 32, defaultPolicy)).toBe(true);
});

describe('the retry delay', () => {
	const prefill = estimatePrefill(model, 100_000);

	it('lasts until the current jobs at the engine are expected to end', () => {
		expect(estimateRetryDelay({firstByte: prefill.total + 800, prefill}, model, 0.5)).toBeCloseTo(800 + 1300, 5);
	});

	it('is spread between callers and has a minimum', () => {
		const delays = [0, 0.5, 1].map(random => estimateRetryDelay({firstByte: prefill.total, prefill}, {...model, usualAnswer: 10}, random));
		expect(delays).toEqual([700, 1000, 1300]);
	});
});
