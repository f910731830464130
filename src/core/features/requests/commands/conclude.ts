/** Stores admissions and gives requests their final answer. */
import {codes} from '../../../errors.js';
import {type Ending, type Outcome, type Request} from '../../../types/request.js';
import {type State, type StepResult} from '../../../types/state.js';
import {assertNever} from '../../../utils/common.js';
import {countUnanswered} from '../queries.js';
import {type Admission} from '../types.js';
import {removeFromQueue} from './queues.js';

/** Retry delay for callers when no better estimate is known. */
export const defaultRetryAfterMs = 1000;

/** Stores a new or changed admission. */
export function putAdmission(state: State, admission: Admission): State {
	const {request, due} = admission;
	const {requests} = state;
	const isNew = !requests.admissions.has(request.id);
	return {
		...state,
		requests: {
			...requests,
			admissions: requests.admissions.set(request.id, admission),
			organisations: isNew
				? requests.organisations.set(request.organisation, countUnanswered(state, request.organisation) + 1)
				: requests.organisations,
			nextDue: Math.min(requests.nextDue, due),
		},
	};
}

function removeAdmission(state: State, admission: Admission): State {
	const {request} = admission;
	const remaining = countUnanswered(state, request.organisation) - 1;
	const {requests} = state;
	return {
		...state,
		requests: {
			...requests,
			admissions: requests.admissions.delete(request.id),
			organisations: remaining > 0
				? requests.organisations.set(request.organisation, remaining)
				: requests.organisations.delete(request.organisation),
		},
	};
}

/**
 * @param ending - How the last attempt ended.
 * @returns The outcome for the caller.
 */
export function toOutcome(ending: Ending): Outcome {
	switch (ending.type) {
		case 'done': {
			return {type: 'done'};
		}

		case 'failed': {
			return {type: 'failed', code: ending.code, detail: ending.detail};
		}

		case 'not-run': {
			return {
				type: 'not-run', code: ending.code, detail: ending.detail, retryAfter: defaultRetryAfterMs,
			};
		}

		case 'unknown': {
			return {type: 'unknown', code: ending.code, detail: ending.detail};
		}

		case 'cancelled': {
			return {type: 'failed', code: codes.callerGone};
		}

		default: {
			return assertNever(ending);
		}
	}
}

function answerEffects(request: Request, outcome: Outcome): StepResult['effects'] {
	return [
		{type: 'answer', request: request.id, outcome},
		{type: 'raise', event: {type: 'request-concluded', request, outcome}},
	];
}

/**
 * Answers an admitted request and removes it.
 *
 * @param outcome - Outcome for the caller.
 * @returns The next state and the answer.
 */
export function conclude(state: State, admission: Admission, outcome: Outcome): StepResult {
	const {request} = admission;
	const dequeued = admission.progress.type === 'queued' ? removeFromQueue(state, admission) : state;
	return {
		state: removeAdmission(dequeued, admission),
		effects: [
			{type: 'log', decision: {type: 'concluded', request: request.id, outcome}},
			...answerEffects(request, outcome),
			{type: 'raise', event: {type: 'dispatch-wanted', service: request.service}},
		],
	};
}

/**
 * Answers a request that is not admitted.
 *
 * @param outcome - Why, and when to retry.
 * @param reason - Reason for the log.
 * @returns The unchanged state and the answer.
 */
export function refuse(state: State, request: Request, outcome: Extract<Outcome, {readonly type: 'not-run'}>, reason: string): StepResult {
	const {organisation, service} = request;
	return {
		state,
		effects: [
			{
				type: 'log', decision: {
					type: 'refused', request: request.id, organisation, service, code: outcome.code, reason,
				},
			},
			{
				type: 'count', name: 'refused', value: 1, tags: {service, code: String(outcome.code)},
			},
			...answerEffects(request, outcome),
		],
	};
}
