/** What this host knows of each upstream. */
import {Map as Table} from 'immutable';
import {type Load} from '../../types/peer.js';
import {type Report} from '../../types/upstream.js';

/** Work in flight that others have there. */
export type Work = {
	readonly requests: number;
	/** Tokens. */
	readonly prefill: number;
	readonly decode: number;
	/** Part of the prefill that is of short prompts. */
	readonly urgent: number;
};

export const noWork: Work = {
	requests: 0, prefill: 0, decode: 0, urgent: 0,
};

export type UpstreamView = {
	readonly upstream: string;
	/** This host's own attempts in flight, and those of them that wait for their first frame. */
	readonly requests: number;
	readonly waiting: number;
	/** Prefill of the waiting ones, in tokens, and how much of it should be done by now. */
	readonly prefill: number;
	readonly prefilled: number;
	/** Time up to which `worked` was counted, in milliseconds. */
	readonly prefilledAsOf: number;
	/** Part of the prefill that is of short prompts; it is done too soon to be worth ageing. */
	readonly urgent: number;
	/** Decode tokens expected of own attempts when they were sent. */
	readonly decode: number;
	/** KV memory that own attempts need, in tokens. */
	readonly footprint: number;
	/** What connected peers say they have in flight. */
	readonly peers: Work;
	/** What the last report showed beyond own and peers' work. */
	readonly unattributed: Work;
	readonly report?: Report;
	/** Monotonic time at which the report's figures were true, in milliseconds. */
	readonly reportedAt?: number;
	readonly reachable: boolean;
};

/** Loads of each peer as they are counted in the views, by host and upstream. */
export type CountedLoads = Table<string, Table<string, Load>>;

export type UpstreamsState = {
	readonly views: Table<string, UpstreamView>;
	readonly countedLoads: CountedLoads;
};

export const initialUpstreams: UpstreamsState = {views: Table(), countedLoads: Table()};
