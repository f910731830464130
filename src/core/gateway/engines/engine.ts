/** Estimates times, in milliseconds, and memory of a model engine from the performance model of its service. */
import {type EngineModel} from '../types.js';

const thousand = 1000;
const million = 1_000_000;

/** Prefill time of one prompt at each of the engines that share it, in milliseconds. */
export type PrefillTime = {
	readonly total: number;
	/** Longest part within one engine iteration, which is the longest delay of jobs that are decoding there. */
	readonly perIteration: number;
};

/**
 * @param model - Engine.
 * @param tokens - Length of the prompt.
 * @param parts - Number of engines that prefill equal parts of it.
 * @returns Prefill time at each of them.
 */
export function estimatePrefill(model: EngineModel, tokens: number, parts = 1): PrefillTime {
	const plain = tokens / model.readRate;
	const pairs = tokens * tokens / 2 / million * model.pairs;
	const steps = Math.ceil(tokens / parts / model.chunk);
	const total = ((plain + pairs) / parts) + (steps * model.step);
	const share = Math.min(model.stride * model.chunk * parts / Math.max(tokens, 1), 1);
	// Later tokens attend to more earlier ones, so the last iteration is the longest.
	const lastPairs = 1 - ((1 - share) ** 2);
	const perIteration = ((plain * share) + (pairs * lastPairs)) / parts;
	return {total, perIteration: perIteration + (Math.min(steps, model.stride) * model.step)};
}

/**
 * @param model - Engine.
 * @param contexts - Context length in tokens of each decoding request.
 * @returns Milliseconds of an engine iteration without prefill.
 */
export function estimateDecodeIteration(model: EngineModel, contexts: readonly number[]): number {
	let {step} = model;
	for (const context of contexts) {
		step += model.perRequest + (context / thousand * model.perThousand);
	}

	return step * model.stride;
}

/**
 * @param model - Engine.
 * @param prompt - Length of the prompt in tokens.
 * @param answer - Maximum length of the answer in tokens.
 * @returns KV memory in tokens that the request may need.
 */
export function footprint(model: EngineModel, prompt: number, answer: number): number {
	return prompt + Math.min(answer, model.usualAnswer * 2) + model.stride;
}

/**
 * @param model - Engine.
 * @param memory - KV memory in tokens that a request needs in all.
 * @param parts - Number of engines that hold equal parts of it.
 * @returns Tokens to reserve at each of them; one engine needs no reservation.
 */
export function computePartMemory(model: EngineModel, memory: number, parts: number): number {
	return parts === 1 ? memory : Math.ceil(memory / parts) + model.stride;
}
