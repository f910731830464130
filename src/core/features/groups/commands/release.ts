/** Releases holds; the holds feature repeats each release until the engine confirms it. */
import {type State, type StepResult} from '../../../types/state.js';
import {withoutEffects} from '../../../utils/common.js';
import {type Group, type GroupPart} from '../types.js';

/** Returns the parts that may be held: all that were requested, answered or not. */
function getRequestedParts({parts, progress}: Group): readonly GroupPart[] {
	return progress.type === 'held' ? parts : parts.slice(0, progress.index + 1);
}

/**
 * @param state - Core state.
 * @param holds - Holds that are no longer needed, each with its upstream.
 * @param reason - Reason, for the log.
 * @returns A step that releases them.
 */
export function releaseHolds(state: State, holds: ReadonlyArray<Pick<GroupPart, 'hold' | 'upstream'>>, reason: string): StepResult {
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
 * @param request - Request whose group has ended, with or without success.
 * @param reason - Reason, for the log.
 * @returns The next step, which releases all holds of the group.
 */
export function dissolveGroup(state: State, request: string, reason: string): StepResult {
	const group = state.groups.groups.get(request);
	if (group === undefined) {
		return withoutEffects(state);
	}

	const remaining = {...state, groups: {...state.groups, groups: state.groups.groups.delete(request)}};
	return releaseHolds(remaining, getRequestedParts(group), reason);
}
