/**
 * When an engine whose places are taken has one for another request. Answers bursts of short prompts, which fill the batches of
 * all engines before they fill their time: whoever is sent where a place comes free first hardly waits.
 */
import {type EngineModel} from './types.js';

/** Share of the usual length for which an answer that has reached it goes on. */
const overtimeShare = 0.3;

/** A request at an engine that holds a place or waits for one. Times in milliseconds. */
export type Occupant = {
	/** Since its first event; undefined while its prompt is read. */
	readonly decodeTime?: number;
	/** Rank in the engine's queue, 0 first. */
	readonly urgency: number;
};

/** Milliseconds until an answer is expected to be whole that has been written for so long. */
function estimateRemainingTime(decodeTime: number, usualDuration: number): number {
	return Math.max(usualDuration - decodeTime, usualDuration * overtimeShare);
}

/**
 * @param model - Engine.
 * @param occupants - Requests that it answers, those that still wait for a place included.
 * @param iteration - Milliseconds of one of its passes now.
 * @param urgency - Rank of another request.
 * @returns Milliseconds until a place is free for that one; 0 if one is free now.
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

	// Each answer that ends makes room for one of those ahead, whose own answers end a usual time later.
	const overtaken = occupants.filter(each => each.decodeTime === undefined && each.urgency > urgency);
	const ahead = Math.max(occupants.length - overtaken.length - model.slots, 0);
	const rounds = Math.floor(ahead / remainingTimes.length);
	return remainingTimes[ahead % remainingTimes.length]! + (rounds * usualDuration);
}
