/** Gives holds back; the holds feature asks each engine until it confirms. */
import {type State, type Step} from '../../../types/state.js';
import {only} from '../../../utils/common.js';
import {type Group, type GroupPart} from '../types.js';

/** Parts that may be held: all that were ever asked for. */
function getRequestedParts({parts, progress}: Group): readonly GroupPart[] {
	return progress.type === 'held' ? parts : parts.slice(0, progress.index + 1);
}

/**
 * @param state - Core state.
 * @param holds - Holds that are wanted no longer, each with its upstream.
 * @param reason - Why, for the log.
 * @returns The releases.
 */
export function releaseHolds(state: State, holds: ReadonlyArray<Pick<GroupPart, 'hold' | 'upstream'>>, reason: string): Step {
	return {
		state,
		effects: holds.flatMap(({hold, upstream}) => [
			{
				type: 'log', decision: {
					type: 'hold', hold, upstream, change: 'released', reason,
				},
			},
			{type: 'raise', event: {type: 'release-wanted', hold, upstream}},
		]),
	};
}

/**
 * @param state - Core state.
 * @param request - Request whose group is over, whatever became of it.
 * @param reason - Why, for the log.
 * @returns The next state, with every hold given back.
 */
export function dissolveGroup(state: State, request: string, reason: string): Step {
	const group = state.groups.groups.get(request);
	if (group === undefined) {
		return only(state);
	}

	const remaining = {...state, groups: {...state.groups, groups: state.groups.groups.delete(request)}};
	return releaseHolds(remaining, getRequestedParts(group), reason);
}
