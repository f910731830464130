/** Finds the last time at which a prompt that waits for memory can be sent. */
import {type Demand, type EngineModel, type Prompt} from '../types.js';
import {estimatePrefill, footprint} from './engine.js';
import {overheadMs} from './losses.js';

/**
 * Part of the time until the latency target within which the largest prompts should be prefilled: those that the fewest engines that hold them
 * would prefill too late. The rest is left for the wait until more engines have the memory.
 */
const prefillShare = 1 / 3;

/**
 * @param model - Performance model of the engines.
 * @param demand - Request.
 * @param prompt - Its size.
 * @param maxParts - Largest number of engines that share a prompt.
 * @returns Number of engines with which the request is expected to run: the fewest that hold it, or more if these would be late.
 */
export function findUsualParts(model: EngineModel, {due, arrived}: Demand, {tokens, answer}: Prompt, maxParts: number): number {
	const fewest = Math.max(Math.ceil(footprint(model, tokens, answer) / model.memory), 1);
	if (estimatePrefill(model, tokens, fewest).total + overheadMs <= due - arrived) {
		return fewest;
	}

	for (let parts = fewest + 1; parts < maxParts; parts++) {
		if (estimatePrefill(model, tokens, parts).total <= (due - arrived) * prefillShare) {
			return parts;
		}
	}

	return Math.max(fewest, maxParts);
}

/**
 * Returns the last time at which a request can be sent to a number of engines and meet its latency target. For an answer that has begun, and for
 * a request that can only be late, the deadline counts.
 *
 * @param model - Performance model of the engines.
 * @param demand - Request.
 * @param prompt - Its size.
 * @param parts - Number of engines that prefill it.
 * @returns Monotonic time in milliseconds.
 */
export function computeLatestStart(model: EngineModel, {due, deadline, arrived, hasBegun}: Demand, {tokens}: Prompt, parts: number): number {
	const firstByte = estimatePrefill(model, tokens, parts).total + overheadMs;
	return hasBegun === true || due - firstByte < arrived ? deadline - firstByte : due - firstByte;
}
