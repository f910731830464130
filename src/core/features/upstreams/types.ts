/** What this host knows of each upstream. */
import {Map as Table} from 'immutable';
import {type Report} from '../../types/upstream.js';

export type View = {
	readonly upstream: string;
	/** This host's own work in flight. */
	readonly requests: number;
	readonly prefill: number;
	readonly decode: number;
	readonly report?: Report;
	/** Monotonic time at which the report's figures were true, in milliseconds. */
	readonly reportedAt?: number;
	readonly reachable: boolean;
};

export type UpstreamsState = {
	readonly views: Table<string, View>;
};

export const initialUpstreams: UpstreamsState = {views: Table()};
