/** Requests that this host has admitted and not yet answered. */
import {List, Map as Table} from 'immutable';
import {
	type Attempt, type LengthClass, type Outcome, type Request,
} from '../../types/request.js';

/** Requests of one kind that wait in one order. Prompts that need several engines have a lane to themselves. */
export type QueueName = LengthClass | 'group';

export const queueNames: readonly QueueName[] = ['short', 'middle', 'long', 'group'];

export type AdmissionProgress
	= | {readonly type: 'queued'; readonly since: number}
	/** Waits for memory at several engines. */
		| {readonly type: 'holding'; readonly since: number}
		| {readonly type: 'running'; readonly attempt: Attempt};

export type Admission = {
	readonly request: Request;
	readonly progress: AdmissionProgress;
	readonly queue: QueueName;
	/** Engine time that the request takes, in milliseconds; what fairness counts. */
	readonly cost: number;
	/** Attempts made, the running one included. */
	readonly attempts: number;
	/** Upstreams where it failed. */
	readonly failedUpstreams: readonly string[];
	/** How the last attempt ended, if it may have run: what its caller is told if there is no other. */
	readonly lastOutcome?: Outcome;
	/** Time to look at it again, in milliseconds: a waiting one's latest start, a running one's deadline. */
	readonly due: number;
};

/** Requests of one organisation in a lane. */
export type OrganisationBacklog = {
	readonly ids: List<string>;
	/** Virtual time at which the first of them may start. */
	readonly start: number;
	readonly weight: number;
	/** Sum of the costs, in milliseconds of engine time. */
	readonly cost: number;
};

export type Queue = {
	/** Virtual start of the request that was taken last. */
	readonly virtualTime: number;
	/** By organisation; those with nothing waiting are absent. */
	readonly waiting: Table<string, OrganisationBacklog>;
	/** Virtual time at which an organisation's next request may start, while that is ahead of `virtual`. */
	readonly next: Table<string, number>;
};

export const emptyQueue: Queue = {virtualTime: 0, waiting: Table(), next: Table()};

export const emptyBacklog: OrganisationBacklog = {
	ids: List(), start: 0, weight: 1, cost: 0,
};

export type RequestsState = {
	/** By request. */
	readonly admissions: Table<string, Admission>;
	/** Request of each running attempt. */
	readonly attempts: Table<string, string>;
	/** By service and lane name. */
	readonly queues: Table<string, Queue>;
	/** Requests admitted and not answered, by organisation. */
	readonly organisations: Table<string, number>;
	/** No admission is due before this time, in milliseconds. */
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
 * @param service - Service; names have no slash.
 * @param name - Lane.
 * @returns The key of the lane.
 */
export function queueKey(service: string, name: QueueName): string {
	return `${service}/${name}`;
}
