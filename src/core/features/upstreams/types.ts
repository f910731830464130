/** This host's view of each upstream. */
import {Map as Table} from 'immutable';
import {type Load} from '../../types/peer.js';
import {type LoadReport} from '../../types/upstream.js';

/** Work in flight at an upstream. */
export type Work = {
	readonly requests: number;
	/** In tokens. */
	readonly prefill: number;
	readonly decode: number;
	/** The part of the prefill that belongs to short prompts. */
	readonly urgent: number;
};

export const noWork: Work = {
	requests: 0, prefill: 0, decode: 0, urgent: 0,
};

export type UpstreamView = {
	readonly upstream: string;
	/** This host's attempts in flight, and those of them that wait for their first frame. */
	readonly requests: number;
	readonly waiting: number;
	/** Prefill of the waiting attempts, in tokens, and how much of it should be done as of `prefilledAsOf`. */
	readonly prefill: number;
	readonly prefilled: number;
	/** Time at which `prefilled` was last updated, in milliseconds. */
	readonly prefilledAsOf: number;
	/** The part of the prefill that belongs to short prompts; not reduced over time, as it is done soon. */
	readonly urgent: number;
	/** Decode tokens of this host's attempts, as expected when they were sent. */
	readonly decode: number;
	/** KV memory that this host's attempts need, in tokens. */
	readonly footprint: number;
	/** Work in flight of live peers, as they publish it. */
	readonly peers: Work;
	/** Work in the last report beyond that of this host and its peers. */
	readonly unattributed: Work;
	readonly report?: LoadReport;
	/** Monotonic time at which the report's figures were measured, in milliseconds. */
	readonly reportedAt?: number;
	readonly reachable: boolean;
};

/** Loads of each peer as included in the views, by host and upstream. */
export type CountedLoads = Table<string, Table<string, Load>>;

export type UpstreamsState = {
	readonly views: Table<string, UpstreamView>;
	readonly countedLoads: CountedLoads;
};

export const initialUpstreams: UpstreamsState = {views: Table(), countedLoads: Table()};
