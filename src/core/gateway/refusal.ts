/** Which requests are refused at once, and when their callers may come again. Answers bursts of long prompts on busy engines. */
import {type Place} from './placement.js';
import {type Policy} from './policy.js';
import {type EngineModel} from './types.js';

/** Callers that were refused together come back over this part of the time around it. */
const retryJitter = 0.6;

/** Milliseconds before which a refused caller finds nothing changed. */
const minRetryDelayMs = 1000;

/**
 * A long prompt that comes while all engines write makes so many streams pause that callers together lose more than it is worth.
 * Served a little later it disturbs fewer; a request that is only late itself is served.
 *
 * @param place - The best place for a request.
 * @param weight - What the request is worth, in requests of usual worth.
 * @param policy - Whether such requests are refused at all.
 * @returns Whether serving it now costs callers more than it is worth.
 */
export function isHarmful({loss}: Pick<Place, 'loss'>, weight: number, {isRefusalEnabled: refusesHarm}: Pick<Policy, 'isRefusalEnabled'>): boolean {
	return refusesHarm && loss > weight;
}

/**
 * @param place - The best place for a request that is refused.
 * @param model - How its engine spends its time.
 * @param random - Uniform from 0 to 1, so that callers don't return together.
 * @returns Milliseconds until what runs there now is over, as far as can be told.
 */
export function returnTime({firstByte, reading}: Pick<Place, 'firstByte' | 'reading'>, model: EngineModel, random: number): number {
	const busy = firstByte - reading.total + (model.usualAnswer * model.step);
	return Math.max(busy, minRetryDelayMs) * (1 + ((random - 0.5) * retryJitter));
}
