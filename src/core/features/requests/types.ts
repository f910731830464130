/** Requests that this host has admitted and not yet answered. */
import {List, Map as Table} from 'immutable';
import {
	type Attempt, type LengthClass, type Outcome, type Request,
} from '../../types/request.js';

/** Queues by prompt length. Prompts that need several engines have a queue of their own. */
export type QueueName = LengthClass | 'group';

export const queueNames: readonly QueueName[] = ['short', 'middle', 'long', 'group'];

export type AdmissionProgress
	= | {readonly type: 'queued'; readonly since: number}
	/** Waits until several engines have reserved memory. */
		| {readonly type: 'holding'; readonly since: number}
		| {readonly type: 'running'; readonly attempt: Attempt};

export type Admission = {
	readonly request: Request;
	readonly progress: AdmissionProgress;
	readonly queue: QueueName;
	/** Engine time that the request takes, in milliseconds, as charged by fair queueing. */
	readonly cost: number;
	/** Attempts made, including the running one. */
	readonly attempts: number;
	/** Upstreams where an attempt failed; a retry avoids them. */
	readonly failedUpstreams: readonly string[];
	/** Outcome of the last attempt that may have run; the final one if no later attempt runs. */
	readonly lastOutcome?: Outcome;
	/** When it expires, in milliseconds of the core's clock: the latest start while it waits, the deadline while it runs. */
	readonly due: number;
};

/** Waiting requests of one organisation in a queue. */
export type OrganisationBacklog = {
	readonly ids: List<string>;
	/** Virtual time at which the first of them may start. */
	readonly start: number;
	readonly weight: number;
	/** Total cost, in milliseconds of engine time. */
	readonly cost: number;
};

export type Queue = {
	/** Virtual start time of the request that was dequeued last. */
	readonly virtualTime: number;
	/** Keyed by organisation; organisations without waiting requests are absent. */
	readonly waiting: Table<string, OrganisationBacklog>;
	/** Virtual time at which an organisation's next request may start, while that is ahead of `virtualTime`. */
	readonly next: Table<string, number>;
};

export const emptyQueue: Queue = {virtualTime: 0, waiting: Table(), next: Table()};

export const emptyBacklog: OrganisationBacklog = {
	ids: List(), start: 0, weight: 1, cost: 0,
};

export type RequestsState = {
	/** Keyed by request. */
	readonly admissions: Table<string, Admission>;
	/** Request of each running attempt. */
	readonly attempts: Table<string, string>;
	/** Keyed by {@link queueKey}. */
	readonly queues: Table<string, Queue>;
	/** Number of requests that were admitted and not answered yet, keyed by organisation. */
	readonly organisations: Table<string, number>;
	/** Earliest time at which an admission may be due, in milliseconds of the core's clock. */
	readonly nextDue: number;
};

export const initialRequests: RequestsState = {
	admissions: Table(),
	attempts: Table(),
	queues: Table(),
	organisations: Table(),
	nextDue: Number.POSITIVE_INFINITY,
};

/**
 * @param service - Service; its name has no slash.
 * @param name - Queue name.
 * @returns The key of the queue.
 */
export function queueKey(service: string, name: QueueName): string {
	return `${service}/${name}`;
}
