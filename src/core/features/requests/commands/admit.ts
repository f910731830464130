/** Admits requests, or refuses them at once. */
import {codes, type CodeName} from '../../../errors.js';
import {type Service} from '../../../types/configuration.js';
import {type Request} from '../../../types/request.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {findOrganisation, findService} from '../../configuration/queries.js';
import {maxFillRatio} from '../../groups/queries.js';
import {getLimitDelay} from '../../limits/queries.js';
import {isServing} from '../../membership/queries.js';
import {estimateFootprint, needsGroup} from '../../routing/queries.js';
import {upstreamsFor} from '../../takeover/queries.js';
import {predict, type Prediction} from '../prediction.js';
import {getQueue, queueLength} from '../queries.js';
import {type Admission, type QueueName} from '../types.js';
import {findSendRefusal} from './attempts.js';
import {defaultRetryAfterMs, putAdmission, refuse} from './conclude.js';
import {enqueue} from './queues.js';
import {spillNew} from './spill.js';

/**
 * A queue may exceed its limit by this factor, so that organisations below their share are still admitted while others work off
 * more than theirs.
 */
const overfillFactor = 2;

function refuseWith(state: State, request: Request, code: CodeName, reason: string, retryAfter = defaultRetryAfterMs): StepResult {
	return refuse(state, request, {type: 'not-run', code: codes[code], retryAfter: Math.ceil(retryAfter)}, reason);
}

/** Each organisation may fill the share of the queue that its weight gives it among the organisations that wait. */
function isQueueFull(state: State, request: Request, requestedService: Service, name: QueueName): boolean {
	const ownWeight = findOrganisation(state, request.organisation)?.weight ?? 1;
	let weights = ownWeight;
	let own = 0;
	for (const [id, backlog] of getQueue(state, request.service, name).waiting) {
		if (id === request.organisation) {
			own = backlog.ids.size;
		} else {
			weights += backlog.weight;
		}
	}

	return own >= Math.ceil(requestedService.queueLimit * ownWeight / weights)
		|| queueLength(state, request.service) >= requestedService.queueLimit * overfillFactor;
}

/** Returns whether the request exceeds the memory of all engines of the service together. */
function isTooLong(state: State, request: Request): boolean {
	if (!needsGroup(state, request)) {
		return false;
	}

	let memory = 0;
	for (const each of upstreamsFor(state, request)) {
		memory += each.kind === 'engine' ? Math.floor(each.memory * maxFillRatio) : 0;
	}

	return memory < estimateFootprint(state, request);
}

function createAdmission(request: Request, prediction: Prediction, now: number): Admission {
	return {
		request,
		progress: {type: 'queued', since: now},
		queue: prediction.queue,
		cost: prediction.cost,
		attempts: 0,
		failedUpstreams: [],
		due: Math.max(request.deadline - prediction.run, now),
	};
}

const emptyPrediction: Prediction = {
	queue: 'short', cost: 0, run: 0, wait: 0,
};

/** Handles a request that this failure domain can't serve in time. */
function spillOrRefuse(state: State, request: Request, prediction: Prediction | undefined, context: StepContext): StepResult {
	const spilled = spillNew(state, createAdmission(request, prediction ?? emptyPrediction, context.now), context);
	if (spilled !== undefined) {
		return {...spilled, effects: [{type: 'raise', event: {type: 'request-admitted', request}}, ...spilled.effects]};
	}

	if (prediction === undefined) {
		return refuseWith(state, request, 'noUpstream', 'no upstream in reach');
	}

	const {wait, run} = prediction;
	const lateness = context.now + wait + run - request.deadline;
	return refuseWith(state, request, 'deadlineUnreachable', `would finish ${Math.ceil(lateness)} ms late`, Math.max(Math.min(lateness, wait), 100));
}

/**
 * @param request - Request that may run here.
 * @returns The next state, with the request queued, sent to another failure domain or refused.
 */
export function admit(state: State, request: Request, context: StepContext): StepResult {
	const {now} = context;
	if (!isServing(state)) {
		return refuseWith(state, request, 'leaving', 'not serving');
	}

	const requestedService = findService(state, request.service);
	if (requestedService === undefined) {
		return refuseWith(state, request, 'noUpstream', 'no such service');
	}

	const refusal = findSendRefusal(state, request, context);
	if (refusal !== undefined) {
		return refuseWith(state, request, refusal, 'no right to run');
	}

	const retryAfter = getLimitDelay(state, request, now);
	if (retryAfter > 0) {
		return refuseWith(state, request, 'organisationLimit', 'at its limit', retryAfter);
	}

	if (isTooLong(state, request)) {
		return refuseWith(state, request, 'promptTooLong', 'larger than all engines together');
	}

	const prediction = predict(state, request, now);
	if (prediction === undefined || now + prediction.wait + prediction.run > request.deadline) {
		return spillOrRefuse(state, request, prediction, context);
	}

	if (isQueueFull(state, request, requestedService, prediction.queue)) {
		return refuseWith(state, request, 'overloaded', 'queue full', prediction.wait + defaultRetryAfterMs);
	}

	const admitted = createAdmission(request, prediction, now);
	return {
		state: enqueue(putAdmission(state, admitted), admitted, false),
		effects: [
			{type: 'raise', event: {type: 'request-admitted', request}},
			{type: 'raise', event: {type: 'dispatch-wanted', service: request.service}},
		],
	};
}
