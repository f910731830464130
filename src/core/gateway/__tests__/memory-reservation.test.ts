/** Reservations of prompts that fit one engine, and what the parts of larger ones leave free. */
import {describe, expect, it} from 'vitest';
import {Load, type Job} from '../engines/load.js';
import {computeMargin, estimateUnknownMemory, planReservation} from '../engines/memory-reservation.js';
import {type EngineModel} from '../types.js';

const model: EngineModel = {
	slots: 8, memory: 200_000, stride: 40, step: 1, perRequest: 0, perThousand: 0, readRate: 200, pairs: 0.1, chunk: 2048, hop: 0, usualPrompt: 10_000, usualAnswer: 1000,
};

const engines = ['e0', 'e1'];

function createLoad(...jobs: ReadonlyArray<Partial<Job>>): Load {
	const load = new Load();
	for (const [index, job] of jobs.entries()) {
		load.begin({
			id: `j${index}`, host: 'h1', upstream: 'e1', helpers: [], prompt: 50_000, answer: 0, isHeld: false, read: 1, readPerPass: 1, weight: 1, placing: 'first', began: 0, due: 1000, deadline: 10_000, ...job,
		}, 0);
	}

	return load;
}

function plan(load: Load, tokens: number, holdTokens = 0) {
	return planReservation({tokens, answer: 0}, {upstream: {id: 'e0'}, holdTokens}, {
		model, load, engines, host: 'h0', now: 0,
	});
}

describe('a prompt that fits one engine', () => {
	it('reserves its memory if other hosts may take more than it leaves before they know of it', () => {
		const load = createLoad({});
		expect([plan(load, 140_000).type, plan(load, 155_000)]).toMatchObject(['none', {type: 'contested', left: 44_960, margin: 50_040}]);
	});

	it('reserves nothing while only this host sends requests, so that one host pays for no orders', () => {
		expect(plan(createLoad({host: 'h0'}, {host: 'h0', upstream: 'e0'}), 145_000).type).toBe('none');
	});

	it('reserves nothing if it is short, even at a full engine', () => {
		expect(plan(createLoad({upstream: 'e0', prompt: 190_000}), 24_000).type).toBe('none');
	});

	it('reserves its parts if its memory is split', () => {
		expect(plan(createLoad(), 300_000, 150_000)).toEqual({type: 'split', tokens: 150_000});
	});
});

it('counts what began at one engine within the time of load updates as one amount', () => {
	expect(estimateUnknownMemory(createLoad({}, {began: 100}), engines, model, 'h0')).toBe(100_080);
	expect(estimateUnknownMemory(createLoad({}, {began: 101}), engines, model, 'h0')).toBe(50_040);
	expect(estimateUnknownMemory(createLoad({}, {upstream: 'e0'}), engines, model, 'h0')).toBe(50_040);
});

it('leaves room for what other hosts may take, but never so much that few engines could not hold the prompt', () => {
	expect([computeMargin(model, 300_000, 16, 0), computeMargin(model, 300_000, 16, 40_000), computeMargin(model, 300_000, 16, 190_000)]).toEqual([11_040, 40_000, 50_000]);
	expect(computeMargin(model, 390_000, 2, 190_000)).toBeLessThan(2500);
});
