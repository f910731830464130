/** Gives requests up whose time is over, or can no longer be enough. */
import {codes} from '../../../errors.js';
import {type Outcome} from '../../../types/request.js';
import {type State, type Step} from '../../../types/state.js';
import {chain, only} from '../../../utils/common.js';
import {outlivesCaller} from '../../tickets/queries.js';
import {type Admission} from '../types.js';
import {lateOutcome, stop} from './attempts.js';
import {usualRetryAfter} from './conclude.js';

const notStarted: Outcome = {type: 'not-run', code: codes.deadlineBeforeStart, retryAfter: usualRetryAfter};

const abandoned: Outcome = {type: 'not-run', code: codes.abandoned};

/**
 * @param state - Core state.
 * @param now - Time in milliseconds.
 * @returns The next state; most of the time nothing is due and nothing is searched.
 */
export function expire(state: State, now: number): Step {
	if (now < state.requests.nextDue) {
		return only(state);
	}

	const late: Admission[] = [];
	let nextDue = Number.POSITIVE_INFINITY;
	for (const admission of state.requests.admissions.values()) {
		if (admission.due <= now) {
			late.push(admission);
		} else {
			nextDue = Math.min(nextDue, admission.due);
		}
	}

	return chain(
		{...state, requests: {...state.requests, nextDue}},
		...late.map(admission => (current: State) => stop(current, admission, lateOutcome(admission), notStarted)),
	);
}

/**
 * The caller has gone. A request that may not be repeated runs on once it was sent: its caller may come back for the
 * recorded answer.
 *
 * @param state - Core state.
 * @param id - Request.
 * @returns The next state.
 */
export function abandon(state: State, id: string): Step {
	const admission = state.requests.admissions.get(id);
	if (admission === undefined) {
		return only(state);
	}

	const isKept = outlivesCaller(admission.request) && admission.progress.type === 'running';
	return isKept ? only(state) : stop(state, admission, {type: 'failed', code: codes.callerGone}, abandoned);
}

/**
 * @param state - Core state.
 * @param id - Request whose right was withdrawn before it was used.
 * @returns The next state.
 */
export function seal(state: State, id: string): Step {
	const admission = state.requests.admissions.get(id);
	return admission === undefined
		? only(state)
		: stop(state, admission, lateOutcome(admission), {type: 'not-run', code: codes.sealed});
}
