/** Stops requests that are past their deadline or can no longer meet it, and those that were abandoned or sealed. */
import {codes} from '../../../errors.js';
import {type Outcome} from '../../../types/request.js';
import {type State, type StepResult} from '../../../types/state.js';
import {chain, withoutEffects} from '../../../utils/common.js';
import {outlivesCaller} from '../../tickets/queries.js';
import {type Admission} from '../types.js';
import {deadlineOutcome, stopRequest} from './attempts.js';
import {defaultRetryAfterMs} from './conclude.js';

const notStartedOutcome: Outcome = {type: 'not-run', code: codes.deadlineBeforeStart, retryAfter: defaultRetryAfterMs};

const abandonedOutcome: Outcome = {type: 'not-run', code: codes.abandoned};

/**
 * Stops the requests that are due. Searches for them only if the earliest due time has passed.
 *
 * @param now - Core clock, in milliseconds.
 * @returns The next state, the cancellations and the answers.
 */
export function expireRequests(state: State, now: number): StepResult {
	if (now < state.requests.nextDue) {
		return withoutEffects(state);
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
 * Handles a caller that has disconnected. A non-idempotent request that was sent keeps running, since its caller may come back
 * for the recorded answer; any other is stopped.
 *
 * @param id - Request.
 * @returns The next state and the effects.
 */
export function abandonRequest(state: State, id: string): StepResult {
	const admission = state.requests.admissions.get(id);
	if (admission === undefined) {
		return withoutEffects(state);
	}

	const isContinued = outlivesCaller(admission.request) && admission.progress.type === 'running';
	return isContinued ? withoutEffects(state) : stopRequest(state, admission, {type: 'failed', code: codes.callerGone}, abandonedOutcome);
}

/**
 * @param id - Request whose right was sealed before it was used.
 * @returns The next state and the effects.
 */
export function stopSealed(state: State, id: string): StepResult {
	const admission = state.requests.admissions.get(id);
	return admission === undefined
		? withoutEffects(state)
		: stopRequest(state, admission, deadlineOutcome(admission), {type: 'not-run', code: codes.sealed});
}
