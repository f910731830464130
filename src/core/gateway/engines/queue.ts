/**
 * Estimates when an engine whose slots are all taken has one for another request. Bursts of short prompts fill the batches of all engines
 * before they use up their time; a request that is sent to the engine with the first free slot hardly waits.
 */
import {type EngineModel} from '../types.js';

/** Remaining time of an answer that has exceeded the usual duration, as a share of that duration. */
const overtimeShare = 0.3;

/** A request at an engine that takes a slot or waits for one. Times are in milliseconds. */
export type Occupant = {
	/** Time since its first event; undefined until then. */
	readonly decodeTime?: number;
	/** Rank in the engine's queue; 0 is first. */
	readonly urgency: number;
};

/**
 * @param decodeTime - Milliseconds since the first event of an answer.
 * @param usualDuration - Milliseconds that a usual answer takes.
 * @returns Expected milliseconds until the answer is complete.
 */
export function estimateRemainingTime(decodeTime: number, usualDuration: number): number {
	return Math.max(usualDuration - decodeTime, usualDuration * overtimeShare);
}

/**
 * @param model - Engine.
 * @param occupants - Requests that it answers, including those that wait for a slot.
 * @param iteration - Current duration of an engine iteration in milliseconds.
 * @param urgency - Rank of the new request.
 * @returns Milliseconds until a slot is free for the new request; 0 if one is free now.
 */
export function estimateSlotWait(model: EngineModel, occupants: readonly Occupant[], iteration: number, urgency: number): number {
	if (occupants.length < model.slots) {
		return 0;
	}

	const usualDuration = model.usualAnswer * Math.max(iteration / model.stride, model.step);
	const remainingTimes = occupants
		.flatMap(({decodeTime}) => decodeTime === undefined ? [] : estimateRemainingTime(decodeTime, usualDuration))
		.toSorted((a, b) => a - b);
	if (remainingTimes.length === 0) {
		return usualDuration;
	}

	// Each answer that ends frees a slot for one request ahead, whose own answer ends a usual duration later.
	const overtaken = occupants.filter(each => each.decodeTime === undefined && each.urgency > urgency);
	const ahead = Math.max(occupants.length - overtaken.length - model.slots, 0);
	const rounds = Math.floor(ahead / remainingTimes.length);
	return remainingTimes[ahead % remainingTimes.length]! + (rounds * usualDuration);
}
