/** Admits requests, sends them to upstreams and concludes them. */
import {codes, type CodeName} from '../../errors.js';
import {
	type Attempt, type Ending, type Outcome, type Request,
} from '../../types/request.js';
import {
	type Context,
	type Feature,
	type State,
	type Step,
} from '../../types/state.js';
import {assertNever, chain, only} from '../../utils/common.js';
import {service, upstream} from '../configuration/queries.js';
import {isServing} from '../membership/queries.js';
import {dispatchRefusal} from '../tickets/queries.js';
import {admissionOf, choose} from './queries.js';
import {type Admission} from './types.js';

const defaultOutput = 256;

function put(state: State, admission: Admission): State {
	const admissions = state.requests.admissions.set(admission.request.id, admission);
	return {...state, requests: {...state.requests, admissions}};
}

function refuse(state: State, request: Request, code: CodeName, reason: string): Step {
	const outcome: Outcome = {type: 'not-run', code: codes[code], retryAfter: 1000};
	return {
		state,
		effects: [
			{
				type: 'log', decision: {
					type: 'refused', request: request.id, organisation: request.organisation, service: request.service, code: codes[code], reason,
				},
			},
			{type: 'answer', request: request.id, outcome},
			{type: 'raise', event: {type: 'request-concluded', request, outcome}},
		],
	};
}

function admit(state: State, request: Request, context: Context): Step {
	if (!isServing(state)) {
		return refuse(state, request, 'leaving', 'not serving');
	}

	return send(state, request, 1, context);
}

function send(state: State, request: Request, attempts: number, context: Context): Step {
	const refusal = dispatchRefusal(state, request, context);
	if (refusal !== undefined) {
		return refuse(state, request, refusal, 'no right to run');
	}

	const choice = choose(state, request, context);
	if (choice === undefined) {
		return refuse(state, request, 'noUpstream', 'no upstream in reach');
	}

	const wanted = service(state, request.service);
	const attempt: Attempt = {
		id: `${request.id}.${attempts}`,
		request: request.id,
		upstream: choice.upstream.id,
		began: context.now,
		prefill: request.promptTokens,
		decode: request.outputLimit ?? (wanted?.kind === 'model' ? wanted.expectedOutput : defaultOutput),
		ahead: 0,
		written: false,
		received: 0,
	};
	const next = put(state, {request, attempts, progress: {type: 'running', attempt}});
	return {
		state: {...next, requests: {...next.requests, attempts: next.requests.attempts.set(attempt.id, request.id)}},
		effects: [
			{
				type: 'log',
				decision: {
					type: 'routed',
					request: request.id,
					organisation: request.organisation,
					service: request.service,
					attempt: attempt.id,
					upstream: choice.upstream.id,
					candidates: choice.candidates,
					reason: choice.reason,
				},
			},
			{
				type: 'send',
				attempt: attempt.id,
				request: request.id,
				upstream: choice.upstream.id,
				address: choice.upstream.address,
				priority: request.priority,
				deadline: request.deadline,
			},
			{type: 'raise', event: {type: 'attempt-began', request, attempt}},
		],
	};
}

function outcomeOf(ending: Ending): Outcome {
	switch (ending.type) {
		case 'done': {
			return {type: 'done'};
		}

		case 'failed': {
			return {type: 'failed', code: ending.code, detail: ending.detail};
		}

		case 'not-run': {
			return {
				type: 'not-run', code: ending.code, detail: ending.detail, retryAfter: 1000,
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

function conclude(state: State, admission: Admission, outcome: Outcome): Step {
	const {request} = admission;
	const admissions = state.requests.admissions.delete(request.id);
	return {
		state: {...state, requests: {...state.requests, admissions}},
		effects: [
			{type: 'log', decision: {type: 'concluded', request: request.id, outcome}},
			{type: 'answer', request: request.id, outcome},
			{type: 'raise', event: {type: 'request-concluded', request, outcome}},
		],
	};
}

function endAttempt(state: State, admission: Admission, attempt: Attempt, ending: Ending): Step {
	return {
		state: {...state, requests: {...state.requests, attempts: state.requests.attempts.delete(attempt.id)}},
		effects: [{
			type: 'raise', event: {
				type: 'attempt-over', request: admission.request, attempt, ending,
			},
		}],
	};
}

function end(state: State, id: string, ending: Ending): Step {
	const admission = admissionOf(state, id);
	if (admission === undefined || admission.progress.type === 'queued') {
		return only(state);
	}

	const {attempt} = admission.progress;
	return chain(
		state,
		current => endAttempt(current, admission, attempt, ending),
		current => conclude(current, admission, outcomeOf(ending)),
	);
}

function progress(state: State, id: string, tokens: number, now: number): Step {
	const admission = admissionOf(state, id);
	if (admission?.progress.type !== 'running') {
		return only(state);
	}

	const {attempt} = admission.progress;
	const next: Attempt = {...attempt, firstFrame: attempt.firstFrame ?? now, received: attempt.received + tokens};
	return only(put(state, {...admission, progress: {type: 'running', attempt: next}}));
}

function stop(state: State, id: string, outcome: Outcome, ending: Ending): Step {
	const admission = state.requests.admissions.get(id);
	if (admission === undefined) {
		return only(state);
	}

	if (admission.progress.type === 'queued') {
		return conclude(state, admission, outcome);
	}

	const {attempt} = admission.progress;
	const target = upstream(state, attempt.upstream);
	return chain(
		state,
		current => ({
			state: current,
			effects: target === undefined
				? []
				: [{
					type: 'cancel', attempt: attempt.id, upstream: attempt.upstream, address: target.address,
				}],
		}),
		current => endAttempt(current, admission, attempt, ending),
		current => conclude(current, admission, outcome),
	);
}

function expire(state: State, now: number): Step {
	const late = [...state.requests.admissions.values()].filter(each => each.request.deadline <= now);
	const outcome: Outcome = {type: 'failed', code: codes.deadlinePassed};
	return chain(state, ...late.map(each => (current: State) => stop(current, each.request.id, outcome, {type: 'cancelled'})));
}

export const requestsFeature: Feature = {
	name: 'requests',
	handle(state, event, context) {
		switch (event.type) {
			case 'request-cleared': {
				return admit(state, event.request, context);
			}

			case 'attempt-progressed': {
				return progress(state, event.attempt, event.tokens, context.now);
			}

			case 'attempt-ended': {
				return end(state, event.attempt, event.ending);
			}

			case 'request-sealed': {
				return stop(state, event.request, {type: 'not-run', code: codes.sealed}, {type: 'cancelled'});
			}

			case 'request-abandoned': {
				return stop(state, event.request, {type: 'failed', code: codes.callerGone}, {type: 'cancelled'});
			}

			case 'tick': {
				return expire(state, context.now);
			}

			default: {
				return only(state);
			}
		}
	},
};
