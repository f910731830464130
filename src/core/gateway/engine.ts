/** Times of a model engine, computed from the figures that its service publishes. All in milliseconds. */
import {type EngineModel} from './types.js';

const thousand = 1000;
const million = 1_000_000;

/** Reading of one prompt at one of the engines that share it. */
export type PrefillTime = {
	/** In all. */
	readonly total: number;
	/** The longest that one pass reads of it: what requests that are written there wait at most. */
	readonly perPass: number;
};

/**
 * @param model - Engine.
 * @param tokens - Length of the prompt.
 * @param parts - Engines that read even parts of it.
 * @returns Time that each of them reads.
 */
export function estimatePrefill(model: EngineModel, tokens: number, parts = 1): PrefillTime {
	const plain = tokens / model.readRate;
	const pairs = tokens * tokens / 2 / million * model.pairs;
	const steps = Math.ceil(tokens / parts / model.chunk);
	const total = ((plain + pairs) / parts) + (steps * model.step);
	const share = Math.min(model.stride * model.chunk * parts / Math.max(tokens, 1), 1);
	// Later tokens have more earlier ones: the last pass is the longest.
	const lastPairs = 1 - ((1 - share) ** 2);
	const perPass = ((plain * share) + (pairs * lastPairs)) / parts;
	return {total, perPass: perPass + (Math.min(steps, model.stride) * model.step)};
}

/**
 * @param model - Engine.
 * @param contexts - Tokens of each request being written there.
 * @returns Time of a pass in which nothing is read.
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
 * @param prompt - Tokens in.
 * @param answer - Most tokens out.
 * @returns Tokens of memory that the request may need.
 */
export function footprint(model: EngineModel, prompt: number, answer: number): number {
	return prompt + Math.min(answer, model.usualAnswer * 2) + model.stride;
}
