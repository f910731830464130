/** Puts requests into lanes and takes them out. */
import {type State} from '../../../types/state.js';
import {organisation} from '../../configuration/queries.js';
import {lane} from '../queries.js';
import {
	laneKey, noneWaiting, type Admission, type Lane, type Waiting,
} from '../types.js';

function putLane(state: State, admission: Admission, changed: Lane): State {
	const key = laneKey(admission.request.service, admission.lane);
	const lanes = changed.waiting.isEmpty()
		? state.requests.lanes.delete(key)
		: state.requests.lanes.set(key, changed);
	return {...state, requests: {...state.requests, lanes}};
}

/**
 * @param state - Core state.
 * @param admission - Request that is to wait.
 * @param isFirst - Whether it goes before the others of its organisation, as one that is tried again.
 * @returns The next state.
 */
export function enqueue(state: State, admission: Admission, isFirst: boolean): State {
	const {request, cost} = admission;
	const before = lane(state, request.service, admission.lane);
	const known = before.waiting.get(request.organisation);
	const waiting = known ?? {
		...noneWaiting,
		start: Math.max(before.virtual, before.next.get(request.organisation) ?? 0),
		weight: organisation(state, request.organisation)?.weight ?? 1,
	};
	const ids = isFirst ? waiting.ids.unshift(request.id) : waiting.ids.push(request.id);
	return putLane(state, admission, {
		...before,
		waiting: before.waiting.set(request.organisation, {...waiting, ids, cost: waiting.cost + cost}),
	});
}

function without(waiting: Waiting, admission: Admission): Waiting {
	const place = waiting.ids.indexOf(admission.request.id);
	return place === -1
		? waiting
		: {...waiting, ids: waiting.ids.delete(place), cost: Math.max(waiting.cost - admission.cost, 0)};
}

function putWaiting(before: Lane, id: string, waiting: Waiting): Lane {
	return {
		...before,
		waiting: waiting.ids.isEmpty() ? before.waiting.delete(id) : before.waiting.set(id, waiting),
	};
}

/**
 * Takes out a request that is sent: its organisation pays for it.
 *
 * @param state - Core state.
 * @param admission - Request.
 * @returns The next state.
 */
export function take(state: State, admission: Admission): State {
	const {request, cost} = admission;
	const before = lane(state, request.service, admission.lane);
	const known = before.waiting.get(request.organisation);
	if (known === undefined) {
		return state;
	}

	const virtual = Math.max(before.virtual, known.start);
	const start = known.start + (cost / known.weight);
	const next = before.next.set(request.organisation, start).filter(each => each > virtual);
	const changed = putWaiting(before, request.organisation, {...without(known, admission), start});
	return putLane(state, admission, {...changed, virtual, next});
}

/**
 * Takes out a request that is given up: nothing is paid for it.
 *
 * @param state - Core state.
 * @param admission - Request.
 * @returns The next state.
 */
export function remove(state: State, admission: Admission): State {
	const {request} = admission;
	const before = lane(state, request.service, admission.lane);
	const known = before.waiting.get(request.organisation);
	return known === undefined
		? state
		: putLane(state, admission, putWaiting(before, request.organisation, without(known, admission)));
}
