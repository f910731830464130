/** Decides which requests are refused at once, and when their callers may retry. Limits the damage of bursts of long prompts on busy engines. */
import {configuredPace} from '../engines/paces.js';
import {type EngineModel} from '../types.js';
import {type Placement} from './placement.js';
import {type Policy} from './policy.js';

/** Width of the random spread of retry delays, relative to the delay, so that callers refused together do not retry together. */
const retryJitter = 0.6;

/** Shortest retry delay in milliseconds: an earlier retry would meet the same load. */
const minRetryDelayMs = 1000;

/**
 * A long prompt that arrives while all engines are decoding pauses so many streams that callers together lose more than its weight. Served a
 * little later it delays fewer. A request that is only late itself is served.
 *
 * @param placement - Best placement of the request.
 * @param weight - Weight of the request, in requests of usual weight.
 * @param policy - Whether such requests are refused at all.
 * @returns Whether the expected loss of serving it now exceeds its weight.
 */
export function isHarmful({loss}: Pick<Placement, 'loss'>, weight: number, {isRefusalEnabled}: Pick<Policy, 'isRefusalEnabled'>): boolean {
	return isRefusalEnabled && loss > weight;
}

/**
 * @param placement - Best placement of the refused request.
 * @param model - Performance model of its engine.
 * @param random - Uniform from 0 to 1, to spread retries.
 * @returns Estimated milliseconds until the current jobs there have ended.
 */
export function estimateRetryDelay({firstByte, prefill, pace = configuredPace}: Pick<Placement, 'firstByte' | 'pace' | 'prefill'>, model: EngineModel, random: number): number {
	const busy = firstByte - (prefill.total / pace.prefill) + (model.usualAnswer * model.step / pace.decode);
	return Math.max(busy, minRetryDelayMs) * (1 + ((random - 0.5) * retryJitter));
}
