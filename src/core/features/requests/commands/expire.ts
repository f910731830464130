/** Gives requests up whose time is over, or can no longer be enough. */
import {codes} from '../../../errors.js';
import {type Outcome} from '../../../types/request.js';
import {type State, type Step} from '../../../types/state.js';
import {chain, only} from '../../../utils/common.js';
import {outlivesCaller} from '../../tickets/queries.js';
import {type Admission} from '../types.js';
import {deadlineOutcome, stopRequest} from './attempts.js';
import {defaultRetryAfterMs} from './conclude.js';

const notStartedOutcome: Outcome = {type: 'not-run', code: codes.deadlineBeforeStart, retryAfter: defaultRetryAfterMs};

const abandonedOutcome: Outcome = {type: 'not-run', code: codes.abandoned};

/**
 * @param state - Core state.
 * @param now - Time in milliseconds.
 * @returns The next state; most of the time nothing is due and nothing is searched.
 */
export function expireRequests(state: State, now: number): Step {
	if (now < state.requests.nextDue) {
		return only(state);
	}

	const expired: Admission[] = [];
	let nextDue = Number.POSITIVE_INFINITY;
	for (const admission of state.requests.admissions.values()) {
		if (admission.due <= now) {
			expired.push(admission);
		} else {
			nextDue = Math.min(nextDue, admission.due);
		}
	}

	return chain(
		{...state, requests: {...state.requests, nextDue}},
		...expired.map(admission => (current: State) => stopRequest(current, admission, deadlineOutcome(admission), notStartedOutcome)),
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
export function abandonRequest(state: State, id: string): Step {
	const admission = state.requests.admissions.get(id);
	if (admission === undefined) {
		return only(state);
	}

	const isContinued = outlivesCaller(admission.request) && admission.progress.type === 'running';
	return isContinued ? only(state) : stopRequest(state, admission, {type: 'failed', code: codes.callerGone}, abandonedOutcome);
}

/**
 * @param state - Core state.
 * @param id - Request whose right was withdrawn before it was used.
 * @returns The next state.
 */
export function stopSealed(state: State, id: string): Step {
	const admission = state.requests.admissions.get(id);
	return admission === undefined
		? only(state)
		: stopRequest(state, admission, deadlineOutcome(admission), {type: 'not-run', code: codes.sealed});
}
