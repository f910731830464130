/** Requests that this host has admitted and not yet answered. */
import {Map as Table} from 'immutable';
import {type Attempt, type Request} from '../../types/request.js';

export type Progress
	= | {readonly type: 'queued'; readonly since: number}
		| {readonly type: 'running'; readonly attempt: Attempt}
	/** Stopped at its upstream; its answer is no longer wanted. */
		| {readonly type: 'cancelling'; readonly attempt: Attempt};

export type Admission = {
	readonly request: Request;
	readonly progress: Progress;
	/** Attempts made, the running one included. */
	readonly attempts: number;
};

export type RequestsState = {
	/** By request. */
	readonly admissions: Table<string, Admission>;
	/** Request of each running attempt. */
	readonly attempts: Table<string, string>;
};

export const initialRequests: RequestsState = {admissions: Table(), attempts: Table()};
