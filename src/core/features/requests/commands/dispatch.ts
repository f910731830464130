/** Sends queued requests when an upstream has room for them. */
import {type Service} from '../../../types/configuration.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {withoutEffects} from '../../../utils/common.js';
import {findService} from '../../configuration/queries.js';
import {canFormGroup} from '../../groups/queries.js';
import {route} from '../../routing/queries.js';
import {getQueue, selectNext} from '../queries.js';
import {
	queueKey, queueNames, type Admission, type QueueName,
} from '../types.js';
import {send} from './attempts.js';
import {putAdmission} from './conclude.js';
import {dequeue} from './queues.js';
import {spill} from './spill.js';

/** Waiting for this fraction of the service's default deadline raises a request by one priority level. */
const ageingFraction = 0.05;

/** A request may be sent to another failure domain after waiting for this fraction of the time it can wait. */
const spillWaitFraction = 0.5;

function isSpillDue(admission: Admission, now: number): boolean {
	if (admission.progress.type !== 'queued') {
		return false;
	}

	const {since} = admission.progress;
	return now - since > (admission.due - since) * spillWaitFraction;
}

function sendOrSpill(state: State, requestedService: Service, admission: Admission, context: StepContext): StepResult | undefined {
	const found = route(state, {
		request: admission.request, requestedService, failureDomain: state.self.failureDomain, failedUpstreams: admission.failedUpstreams,
	}, context);
	if (found.type === 'send') {
		return send(state, admission, found.choice, context);
	}

	return found.type === 'none' || isSpillDue(admission, context.now)
		? spill(state, admission, context)
		: undefined;
}

function requestGroup(state: State, admission: Admission, {now}: StepContext): StepResult | undefined {
	const {request} = admission;
	return canFormGroup(state, request.service, now)
		? {
			state: putAdmission(dequeue(state, admission), {...admission, progress: {type: 'holding', since: now}}),
			effects: [{type: 'raise', event: {type: 'group-wanted', request}}],
		}
		: undefined;
}

function dispatchQueue(state: State, requestedService: Service, name: QueueName, context: StepContext): StepResult | undefined {
	if (!state.requests.queues.has(queueKey(requestedService.id, name))) {
		return undefined;
	}

	const next = selectNext(state, getQueue(state, requestedService.id, name), context.now, requestedService.deadline.default * ageingFraction);
	if (next === undefined) {
		return undefined;
	}

	return name === 'group' ? requestGroup(state, next, context) : sendOrSpill(state, requestedService, next, context);
}

/**
 * Sends at most one request of a service. Each send requests another dispatch, which runs after the load views include it.
 *
 * @param id - Service.
 * @returns The next state and the effects.
 */
export function dispatch(state: State, id: string, context: StepContext): StepResult {
	const requestedService = findService(state, id);
	if (requestedService === undefined) {
		return withoutEffects(state);
	}

	for (const name of queueNames) {
		const sent = dispatchQueue(state, requestedService, name, context);
		if (sent !== undefined) {
			return sent;
		}
	}

	return withoutEffects(state);
}

/** @returns The unchanged state and a dispatch event for each service with queued requests. */
export function requestDispatch(state: State): StepResult {
	const services = new Set([...state.requests.queues.keys()].map(key => key.slice(0, key.indexOf('/'))));
	return {
		state,
		effects: [...services].map(id => ({type: 'raise', event: {type: 'dispatch-wanted', service: id}}) as const),
	};
}
