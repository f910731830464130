/** State of the load reports that this host publishes to its peers. */
import {Map as Table} from 'immutable';
import {type LoadReport} from '../../types/upstream.js';

/** A report with the time at which its figures were measured. */
export type DatedReport = {
	readonly report: LoadReport;
	/** Monotonic time in milliseconds. */
	readonly reportedAt: number;
};

export type PollingState = {
	/** Reports polled by this host and not yet published, by upstream. */
	readonly unpublished: Table<string, DatedReport>;
	/** Last published reports, by upstream. */
	readonly published: Table<string, DatedReport>;
	/** Monotonic time of the next publication, in milliseconds. */
	readonly nextPublication: number;
};

export const initialPolling: PollingState = {unpublished: Table(), published: Table(), nextPublication: 0};
