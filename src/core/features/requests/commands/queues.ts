/** Adds requests to queues and removes them. */
import {type State} from '../../../types/state.js';
import {findOrganisation} from '../../configuration/queries.js';
import {getQueue} from '../queries.js';
import {
	emptyBacklog, queueKey, type Admission, type OrganisationBacklog, type Queue,
} from '../types.js';

function putQueue(state: State, admission: Admission, changed: Queue): State {
	const key = queueKey(admission.request.service, admission.queue);
	const queues = changed.waiting.isEmpty()
		? state.requests.queues.delete(key)
		: state.requests.queues.set(key, changed);
	return {...state, requests: {...state.requests, queues}};
}

/**
 * @param admission - Request to queue.
 * @param isFirst - Whether it goes before the organisation's other requests, as a retry does.
 * @returns The next state.
 */
export function enqueue(state: State, admission: Admission, isFirst: boolean): State {
	const {request, cost} = admission;
	const queue = getQueue(state, request.service, admission.queue);
	const existing = queue.waiting.get(request.organisation);
	const backlog = existing ?? {
		...emptyBacklog,
		start: Math.max(queue.virtualTime, queue.next.get(request.organisation) ?? 0),
		weight: findOrganisation(state, request.organisation)?.weight ?? 1,
	};
	const ids = isFirst ? backlog.ids.unshift(request.id) : backlog.ids.push(request.id);
	return putQueue(state, admission, {
		...queue,
		waiting: queue.waiting.set(request.organisation, {...backlog, ids, cost: backlog.cost + cost}),
	});
}

function removeFromBacklog(backlog: OrganisationBacklog, admission: Admission): OrganisationBacklog {
	const index = backlog.ids.indexOf(admission.request.id);
	return index === -1
		? backlog
		: {...backlog, ids: backlog.ids.delete(index), cost: Math.max(backlog.cost - admission.cost, 0)};
}

function putBacklog(queue: Queue, id: string, backlog: OrganisationBacklog): Queue {
	return {
		...queue,
		waiting: backlog.ids.isEmpty() ? queue.waiting.delete(id) : queue.waiting.set(id, backlog),
	};
}

/**
 * Removes a request that is being sent, and charges its cost to its organisation.
 *
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
 * Removes a request that is not sent; its organisation is charged nothing.
 *
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
