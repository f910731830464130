/** Sends requests to upstreams, and handles the progress and end of each attempt. */
import {codes, type CodeName} from '../../../errors.js';
import {type EventOf} from '../../../types/event.js';
import {type Segment} from '../../../types/effect.js';
import {
	type Attempt, type Ending, type LengthClass, type Outcome, type Request,
} from '../../../types/request.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {chain, withoutEffects} from '../../../utils/common.js';
import {findService, findUpstream as configured} from '../../configuration/queries.js';
import {canRetry} from '../../retries/queries.js';
import {getLengthClass} from '../../routing/segments.js';
import {type Choice} from '../../routing/types.js';
import {isConvicted} from '../../suspicion/queries.js';
import {findDispatchRefusal} from '../../tickets/queries.js';
import {getView} from '../../upstreams/queries.js';
import {estimateWork} from '../../work/queries.js';
import {admissionOf} from '../queries.js';
import {type Admission} from '../types.js';
import {conclude, putAdmission, toOutcome} from './conclude.js';
import {dequeue, enqueue} from './queues.js';

function lengthClassOf(state: State, request: Request): LengthClass {
	return getLengthClass(findService(state, request.service), request.promptTokens);
}

const lengthRank: Readonly<Record<LengthClass, number>> = {short: 0, middle: 1, long: 2};

/** Number of priority levels of organisations. */
const priorityLevels = 10;

/**
 * At engines, shorter prompts go first whichever organisation sends them; the organisations' priorities order prompts of the
 * same length class. The baseline policies ignore lengths.
 */
function enginePriority(state: State, request: Request, attempt: Attempt): number {
	if (findService(state, request.service)?.policy !== 'cost') {
		return request.priority;
	}

	return (lengthRank[attempt.length] * priorityLevels) + request.priority;
}

function createAttempt(state: State, admission: Admission, choice: Choice, segments: readonly Segment[] | undefined, now: number): Attempt {
	const {request} = admission;
	return {
		id: `${request.id}.${admission.attempts + 1}`,
		request: request.id,
		upstream: choice.upstream.id,
		began: now,
		upstreamIncarnation: getView(state, choice.upstream.id).report?.incarnation,
		...estimateWork(state, request, choice.cached),
		prefillAhead: choice.prefillAhead,
		length: lengthClassOf(state, request),
		prefillShares: segments?.map(each => ({upstream: each.upstream, prefill: each.to - each.from})),
		written: false,
		received: 0,
	};
}

/** @returns Code of the reason why the request must not be admitted or sent, if there is one. */
export function findSendRefusal(state: State, request: Request, context: StepContext): CodeName | undefined {
	return isConvicted(state, request.fingerprint, context)
		? 'convicted'
		: findDispatchRefusal(state, request, context);
}

/**
 * @param admission - Request to send; it is removed from its queue if it waits in one.
 * @param choice - Upstream.
 * @param segments - Segments of the prompt, if several engines share it.
 * @returns The next state and the effects.
 */
export function send(state: State, admission: Admission, choice: Choice, context: StepContext, segments?: readonly Segment[]): StepResult {
	const {request} = admission;
	const refusal = findSendRefusal(state, request, context);
	if (refusal !== undefined) {
		return conclude(state, admission, admission.lastOutcome ?? {type: 'not-run', code: codes[refusal]});
	}

	const attempt = createAttempt(state, admission, choice, segments, context.now);
	const dequeued = admission.progress.type === 'queued' ? dequeue(state, admission) : state;
	const next = putAdmission(dequeued, {
		...admission, attempts: admission.attempts + 1, progress: {type: 'running', attempt}, due: request.deadline,
	});
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
				priority: enginePriority(state, request, attempt),
				deadline: request.deadline,
				segments,
			},
			{type: 'raise', event: {type: 'attempt-began', request, attempt}},
			{type: 'raise', event: {type: 'dispatch-wanted', service: request.service}},
		],
	};
}

function removeAttempt(state: State, admission: Admission, attempt: Attempt, ending: Ending): StepResult {
	return {
		state: {...state, requests: {...state.requests, attempts: state.requests.attempts.delete(attempt.id)}},
		effects: [{
			type: 'raise', event: {
				type: 'attempt-over', request: admission.request, attempt, ending,
			},
		}],
	};
}

function retry(state: State, admission: Admission, attempt: Attempt, ending: Ending): StepResult {
	const {request} = admission;
	const hasPossiblyRun = ending.type !== 'not-run';
	const next: Admission = {
		...admission,
		progress: {type: 'queued', since: attempt.began},
		failedUpstreams: [...admission.failedUpstreams, attempt.upstream],
		lastOutcome: hasPossiblyRun ? toOutcome(ending) : admission.lastOutcome,
	};
	return {
		state: enqueue(putAdmission(state, next), next, true),
		effects: [
			{
				type: 'log', decision: {
					type: 'retried', request: request.id, attempt: attempt.id, reason: `${ending.type} at ${attempt.upstream}`,
				},
			},
			{
				type: 'count', name: 'retried', value: 1, tags: {service: request.service},
			},
			{type: 'raise', event: {type: 'request-retried', request}},
			{type: 'raise', event: {type: 'dispatch-wanted', service: request.service}},
		],
	};
}

/** An earlier attempt that may have run takes precedence over a later one that did not. */
function selectFinalOutcome(admission: Admission, ending: Ending): Outcome {
	const outcome = toOutcome(ending);
	return outcome.type === 'not-run' && admission.lastOutcome !== undefined ? admission.lastOutcome : outcome;
}

/**
 * @param id - Attempt.
 * @param ending - How it ended.
 * @param now - Core clock, in milliseconds.
 * @returns The next state, with the request queued for a retry or answered.
 */
export function endAttempt(state: State, id: string, ending: Ending, now: number): StepResult {
	const admission = admissionOf(state, id);
	if (admission?.progress.type !== 'running') {
		return withoutEffects(state);
	}

	const {attempt} = admission.progress;
	const isRetried = canRetry(state, admission.request, attempt, ending, admission.attempts, now);
	return chain(
		state,
		current => removeAttempt(current, admission, attempt, ending),
		current => isRetried
			? retry(current, admission, attempt, ending)
			: conclude(current, admission, selectFinalOutcome(admission, ending)),
	);
}

/**
 * @param event - Tokens received from the upstream.
 * @param now - Core clock, in milliseconds.
 * @returns The next state.
 */
export function recordProgress(state: State, event: EventOf<'attempt-progressed'>, now: number): StepResult {
	const admission = admissionOf(state, event.attempt);
	if (admission?.progress.type !== 'running') {
		return withoutEffects(state);
	}

	const {attempt} = admission.progress;
	const next: Attempt = {
		...attempt, written: true, firstFrame: attempt.firstFrame ?? now, received: attempt.received + event.tokens,
	};
	const changed = putAdmission(state, {...admission, progress: {type: 'running', attempt: next}});
	return attempt.firstFrame === undefined
		? {state: changed, effects: [{type: 'raise', event: {type: 'dispatch-wanted', service: admission.request.service}}]}
		: withoutEffects(changed);
}

/**
 * @param id - Attempt of which at least one byte was sent.
 * @returns The next state.
 */
export function markWritten(state: State, id: string): State {
	const admission = admissionOf(state, id);
	return admission?.progress.type === 'running'
		? putAdmission(state, {...admission, progress: {type: 'running', attempt: {...admission.progress.attempt, written: true}}})
		: state;
}

/**
 * Stops a request. One that waits has not run. One that was sent may have run, even if no byte is known to have been written;
 * it is cancelled at its upstream.
 *
 * @param runningOutcome - Outcome for a request that may have run.
 * @param waitingOutcome - Outcome for a request that has not run.
 * @returns The next state, the cancellation and the answer.
 */
export function stopRequest(state: State, admission: Admission, runningOutcome: Outcome, waitingOutcome: Outcome): StepResult {
	if (admission.progress.type !== 'running') {
		return conclude(state, admission, admission.lastOutcome ?? waitingOutcome);
	}

	const {attempt} = admission.progress;
	const target = configured(state, attempt.upstream);
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
		current => removeAttempt(current, admission, attempt, {type: 'cancelled'}),
		current => conclude(current, admission, runningOutcome),
	);
}

/** @returns The outcome of a request whose deadline passed while it ran. */
export function deadlineOutcome(admission: Admission): Outcome {
	return admission.request.proof.type === 'idempotent'
		? {type: 'failed', code: codes.deadlinePassed}
		: {type: 'unknown', code: codes.outcomeUnknown, detail: 'The time was over while it ran.'};
}
