/** Which engines this host asks for load reports, and what it tells its peers of them. */
import {Map as Table} from 'immutable';
import {type Report} from '../../types/upstream.js';

/** A report with the time at which its figures were true. */
export type DatedReport = {
	readonly report: Report;
	/** Monotonic time in milliseconds. */
	readonly reportedAt: number;
};

export type PollingState = {
	/** Reports read here and not yet told to peers, by upstream. */
	readonly unpublished: Table<string, DatedReport>;
	/** What peers were told last, by upstream. */
	readonly published: Table<string, DatedReport>;
	/** Monotonic time of the next telling, in milliseconds. */
	readonly nextPublication: number;
};

export const initialPolling: PollingState = {unpublished: Table(), published: Table(), nextPublication: 0};
