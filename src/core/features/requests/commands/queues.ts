/** Puts requests into lanes and takes them out. */
import {type State} from '../../../types/state.js';
import {organisation} from '../../configuration/queries.js';
import {getQueue} from '../queries.js';
import {
	queueKey, emptyBacklog, type Admission, type Queue, type OrganisationBacklog,
} from '../types.js';

function putQueue(state: State, admission: Admission, changed: Queue): State {
	const key = queueKey(admission.request.service, admission.queue);
	const queues = changed.waiting.isEmpty()
		? state.requests.queues.delete(key)
		: state.requests.queues.set(key, changed);
	return {...state, requests: {...state.requests, queues}};
}

/**
 * @param state - Core state.
 * @param admission - Request that is to wait.
 * @param isFirst - Whether it goes before the others of its organisation, as one that is tried again.
 * @returns The next state.
 */
export function enqueue(state: State, admission: Admission, isFirst: boolean): State {
	const {request, cost} = admission;
	const queue = getQueue(state, request.service, admission.queue);
	const existing = queue.waiting.get(request.organisation);
	const waiting = existing ?? {
		...emptyBacklog,
		start: Math.max(queue.virtualTime, queue.next.get(request.organisation) ?? 0),
		weight: organisation(state, request.organisation)?.weight ?? 1,
	};
	const ids = isFirst ? waiting.ids.unshift(request.id) : waiting.ids.push(request.id);
	return putQueue(state, admission, {
		...queue,
		waiting: queue.waiting.set(request.organisation, {...waiting, ids, cost: waiting.cost + cost}),
	});
}

function removeFromBacklog(backlog: OrganisationBacklog, admission: Admission): OrganisationBacklog {
	const index = backlog.ids.indexOf(admission.request.id);
	return index === -1
		? backlog
		: {...backlog, ids: backlog.ids.delete(index), cost: Math.max(backlog.cost - admission.cost, 0)};
}

function putBacklog(queue: Queue, id: string, waiting: OrganisationBacklog): Queue {
	return {
		...queue,
		waiting: waiting.ids.isEmpty() ? queue.waiting.delete(id) : queue.waiting.set(id, waiting),
	};
}

/**
 * Takes out a request that is sent: its organisation pays for it.
 *
 * @param state - Core state.
 * @param admission - Request.
 * @returns The next state.
 */
export function dequeue(state: State, admission: Admission): State {
	const {request, cost} = admission;
	const queue = getQueue(state, request.service, admission.queue);
	const backlog = queue.waiting.get(request.organisation);
	if (backlog === undefined) {
		return state;
	}

	const virtualTime = Math.max(queue.virtualTime, backlog.start);
	const start = backlog.start + (cost / backlog.weight);
	const next = queue.next.set(request.organisation, start).filter(each => each > virtualTime);
	const changed = putBacklog(queue, request.organisation, {...removeFromBacklog(backlog, admission), start});
	return putQueue(state, admission, {...changed, virtualTime, next});
}

/**
 * Takes out a request that is given up: nothing is paid for it.
 *
 * @param state - Core state.
 * @param admission - Request.
 * @returns The next state.
 */
export function removeFromQueue(state: State, admission: Admission): State {
	const {request} = admission;
	const queue = getQueue(state, request.service, admission.queue);
	const backlog = queue.waiting.get(request.organisation);
	return backlog === undefined
		? state
		: putQueue(state, admission, putBacklog(queue, request.organisation, removeFromBacklog(backlog, admission)));
}
