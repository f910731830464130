/** Reads admitted requests and the queues they wait in. */
import {type State} from '../../types/state.js';
import {
	emptyQueue, queueKey, queueNames, type Admission, type Queue, type QueueName,
} from './types.js';

/** @returns Whether this host has no open requests, including forwarded ones and those that wait for the claim of their key. */
export function isIdle(state: State): boolean {
	return state.requests.admissions.isEmpty() && state.tickets.forwards.isEmpty() && state.keys.claiming.length === 0;
}

/** @returns The request that an attempt runs for, if it is still open. */
export function admissionOf(state: State, attempt: string): Admission | undefined {
	const request = state.requests.attempts.get(attempt);
	return request === undefined ? undefined : state.requests.admissions.get(request);
}

/** @returns Number of the organisation's requests that were admitted here and not answered yet. */
export function countUnanswered(state: State, organisation: string): number {
	return state.requests.organisations.get(organisation) ?? 0;
}

/** @returns The queue; an empty one if nothing waits. */
export function getQueue(state: State, service: string, name: QueueName): Queue {
	return state.requests.queues.get(queueKey(service, name)) ?? emptyQueue;
}

/** @returns Number of requests of the service that wait here, in all queues. */
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
 * Start-time fair queueing within a priority: selects the organisation whose next request starts first in virtual time.
 * Priorities rise by one level per ageing interval, so that no request starves.
 *
 * @param now - Core clock, in milliseconds.
 * @param ageingInterval - Wait that raises a request by one priority level, in milliseconds.
 * @returns The next request to send, if any waits.
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
