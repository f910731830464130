/** Routing state, and the types of a search for an upstream. */
import {Map as Table} from 'immutable';
import {type Service, type Upstream} from '../../types/configuration.js';
import {type Candidate} from '../../types/effect.js';
import {type LengthClass, type Request} from '../../types/request.js';
import {zeroRate, type Rate} from '../../utils/rates.js';

/** Arriving work in prompt tokens, by length. */
export type Arrivals = Readonly<Record<LengthClass, Rate>>;

export const noArrivals: Arrivals = {short: zeroRate, middle: zeroRate, long: zeroRate};

export type RoutingState = {
	/** Requests sent so far, by service; the round-robin position. */
	readonly turns: Table<string, number>;
	/** By service. */
	readonly arrivals: Table<string, Arrivals>;
};

export const initialRouting: RoutingState = {turns: Table(), arrivals: Table()};

/** A search for an upstream that can take a request. */
export type Search = {
	readonly request: Request;
	readonly requestedService: Service;
	/** Domain whose upstreams are searched. */
	readonly failureDomain: string;
	/** Upstreams where the request failed before. */
	readonly failedUpstreams: readonly string[];
};

/** An upstream chosen for a request. */
export type Choice = {
	readonly upstream: Upstream;
	/** Best first; the first is the chosen upstream. */
	readonly candidates: readonly Candidate[];
	/** Prompt tokens that it is believed to cache. */
	readonly cached: number;
	/** Prefill tokens that it processes before this request's own. */
	readonly prefillAhead: number;
	readonly reason: string;
};

/** The result of routing a request. */
export type Route
	= | {readonly type: 'send'; readonly choice: Choice}
	/** Every upstream that can run it is busy. */
		| {readonly type: 'wait'}
	/** No upstream in this failure domain can run it now. */
		| {readonly type: 'none'; readonly reason: string};
