/** Gives holds back, and says so again until the engine confirms. */
import {type Effect} from '../../../types/effect.js';
import {type State, type Step} from '../../../types/state.js';
import {only} from '../../../utils/common.js';
import {upstream as configured} from '../../configuration/queries.js';
import {type Group, type Part, type Release} from '../types.js';

/** Time until a release that was not confirmed is sent again, in milliseconds. */
const releaseInterval = 1000;

function change(state: State, releases: State['groups']['releases']): State {
	return {...state, groups: {...state.groups, releases}};
}

function releaseEffect(state: State, hold: string, upstream: string): readonly Effect[] {
	const address = configured(state, upstream)?.address;
	return address === undefined
		? []
		: [{
			type: 'release', hold, upstream, address,
		}];
}

/** Parts that may be held: all that were ever asked for. */
function askedFor({parts, progress}: Group): readonly Part[] {
	return progress.type === 'held' ? parts : parts.slice(0, progress.index + 1);
}

/**
 * @param state - Core state.
 * @param holds - Holds that are wanted no longer, each with its upstream.
 * @param now - Time in milliseconds.
 * @param reason - Why, for the log.
 * @returns The next state and the releases.
 */
export function giveBack(state: State, holds: ReadonlyArray<Pick<Part, 'hold' | 'upstream'>>, now: number, reason: string): Step {
	const entries = holds.map(({hold, upstream}) => [hold, {upstream, again: now + releaseInterval}] as [string, Release]);
	return {
		state: change(state, state.groups.releases.merge(entries)),
		effects: holds.flatMap(({hold, upstream}) => [
			{
				type: 'log', decision: {
					type: 'hold', hold, upstream, change: 'released', reason,
				},
			},
			...releaseEffect(state, hold, upstream),
		]),
	};
}

/**
 * @param state - Core state.
 * @param request - Request whose group is over, whatever became of it.
 * @param now - Time in milliseconds.
 * @param reason - Why, for the log.
 * @returns The next state, with every hold given back.
 */
export function dissolve(state: State, request: string, now: number, reason: string): Step {
	const group = state.groups.groups.get(request);
	if (group === undefined) {
		return only(state);
	}

	const left = {...state, groups: {...state.groups, groups: state.groups.groups.delete(request)}};
	return giveBack(left, askedFor(group), now, reason);
}

/**
 * @param state - Core state.
 * @param hold - Hold that the engine says is given back.
 * @returns The next state.
 */
export function confirmRelease(state: State, hold: string): State {
	return state.groups.releases.has(hold) ? change(state, state.groups.releases.delete(hold)) : state;
}

/**
 * @param state - Core state.
 * @param upstream - Engine that lost all its memory, or is not configured any more.
 * @returns The next state, with nothing left to give back there.
 */
export function forgetReleases(state: State, upstream: string): State {
	return change(state, state.groups.releases.filter(each => each.upstream !== upstream));
}

/**
 * @param state - Core state.
 * @param now - Time in milliseconds.
 * @returns The next state, with unconfirmed releases sent again.
 */
export function pressReleases(state: State, now: number): Step {
	const due = state.groups.releases.filter(each => each.again <= now);
	if (due.isEmpty()) {
		return only(state);
	}

	const known = due.filter(each => configured(state, each.upstream) !== undefined);
	const pressed = known.map(each => ({...each, again: now + releaseInterval}));
	return {
		state: change(state, state.groups.releases.deleteAll(due.keys()).merge(pressed)),
		effects: [...known.entries()].flatMap(([hold, {upstream}]) => releaseEffect(state, hold, upstream)),
	};
}
