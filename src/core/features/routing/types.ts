/** What routing remembers: whose turn it is, and how much work of each length arrives. */
import {Map as Table} from 'immutable';
import {type Service, type Upstream} from '../../types/configuration.js';
import {type Candidate} from '../../types/effect.js';
import {type LengthClass, type Request} from '../../types/request.js';
import {noRate, type Rate} from '../../utils/rates.js';

/** Work that arrives, in tokens, by length. */
export type Arrivals = Readonly<Record<LengthClass, Rate>>;

export const noArrivals: Arrivals = {short: noRate, middle: noRate, long: noRate};

export type RoutingState = {
	/** Requests sent so far, by service. */
	readonly turns: Table<string, number>;
	readonly arrivals: Table<string, Arrivals>;
};

export const initialRouting: RoutingState = {turns: Table(), arrivals: Table()};

/** What a request's routing needs to know. */
export type Search = {
	readonly request: Request;
	readonly wanted: Service;
	readonly failureDomain: string;
	/** Upstreams where the request failed before. */
	readonly avoided: readonly string[];
};

/** An upstream chosen for a request. */
export type Choice = {
	readonly upstream: Upstream;
	/** Best first; the upstream chosen is the first. */
	readonly candidates: readonly Candidate[];
	/** Prompt tokens that it is believed to hold. */
	readonly cached: number;
	/** Prefill tokens that it has before this request. */
	readonly ahead: number;
	readonly reason: string;
};

/** What routing says to a request that wants to be sent. */
export type Route
	= | {readonly type: 'send'; readonly choice: Choice}
	/** All that could take it have enough to do: it waits. */
		| {readonly type: 'wait'}
	/** Nothing in this failure domain can run it now. */
		| {readonly type: 'none'; readonly reason: string};
