import {describe, expect, it} from 'vitest';
import {estimatePrefill} from '../engine.js';
import {usualPolicy} from '../policy.js';
import {isHarmful, returnTime} from '../refusal.js';
import {type EngineModel} from '../types.js';

const model: EngineModel = {
	slots: 11, memory: 232_000, stride: 43, step: 1, perRequest: 0, perThousand: 0, readRate: 200, pairs: 0.1, chunk: 2048, hop: 0, usualPrompt: 12_000, usualAnswer: 1300,
};

it('a request is refused only where serving it costs more than it is worth', () => {
	expect(isHarmful({loss: 0.8}, 1, usualPolicy)).toBe(false);
	expect(isHarmful({loss: 138}, 32, usualPolicy)).toBe(true);
});

describe('a refused caller', () => {
	const read = estimatePrefill(model, 100_000);

	it('comes back when what runs at the engines is over', () => {
		expect(returnTime({firstByte: read.total + 800, reading: read}, model, 0.5)).toBeCloseTo(800 + 1300, 5);
	});

	it('does not come back with the others, nor before anything has changed', () => {
		const times = [0, 0.5, 1].map(part => returnTime({firstByte: read.total, reading: read}, {...model, usualAnswer: 10}, part));
		expect(times).toEqual([700, 1000, 1300]);
	});
});
