/** Reads requests and the lanes they wait in. */
import {type State} from '../../types/state.js';
import {
	emptyQueue, queueKey, queueNames, type Admission, type Queue, type QueueName,
} from './types.js';

/**
 * @param state - Core state.
 * @returns Whether no request is left at this host, those that it passed on or claims the keys of included.
 */
export function isIdle(state: State): boolean {
	return state.requests.admissions.isEmpty() && state.tickets.forwards.isEmpty() && state.keys.claiming.length === 0;
}

/**
 * @param state - Core state.
 * @param attempt - Attempt.
 * @returns The admitted request it runs for, if it is still wanted.
 */
export function admissionOf(state: State, attempt: string): Admission | undefined {
	const request = state.requests.attempts.get(attempt);
	return request === undefined ? undefined : state.requests.admissions.get(request);
}

/**
 * @param state - Core state.
 * @param organisation - Organisation.
 * @returns Its requests that were admitted here and not answered yet.
 */
export function runningOf(state: State, organisation: string): number {
	return state.requests.organisations.get(organisation) ?? 0;
}

/**
 * @param state - Core state.
 * @param service - Service.
 * @param name - Lane name.
 * @returns The lane, an empty one if nothing waits.
 */
export function getQueue(state: State, service: string, name: QueueName): Queue {
	return state.requests.queues.get(queueKey(service, name)) ?? emptyQueue;
}

/**
 * @param state - Core state.
 * @param service - Service.
 * @returns Requests of the service that wait here.
 */
export function queueLength(state: State, service: string): number {
	let length = 0;
	for (const name of queueNames) {
		for (const backlog of getQueue(state, service, name).waiting.values()) {
			length += backlog.ids.size;
		}
	}

	return length;
}

/**
 * Start-time fair queueing within a priority: the organisation whose next request starts first in virtual time. A
 * request gains one priority for every `ageing` milliseconds that it waits, so that none waits for ever.
 *
 * @param state - Core state.
 * @param queue - Lane.
 * @param now - Time in milliseconds.
 * @param ageingInterval - Wait that is worth one priority, in milliseconds.
 * @returns The request that is next, if any waits.
 */
export function selectNext(state: State, queue: Queue, now: number, ageingInterval: number): Admission | undefined {
	let best: Admission | undefined;
	let bestRank = Number.POSITIVE_INFINITY;
	let bestStart = Number.POSITIVE_INFINITY;
	for (const backlog of queue.waiting.values()) {
		const head = state.requests.admissions.get(backlog.ids.first() ?? '');
		if (head?.progress.type !== 'queued') {
			continue;
		}

		const rank = Math.max(head.request.priority - Math.floor((now - head.progress.since) / ageingInterval), 0);
		if (rank < bestRank || (rank === bestRank && backlog.start < bestStart)) {
			best = head;
			bestRank = rank;
			bestStart = backlog.start;
		}
	}

	return best;
}
