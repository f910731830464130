/** What upstreams report about themselves in their responses and hosts forward to each other. */
import {type UpstreamProcess} from '../types.js';
import {type RateLimitReport} from './rate-limits.js';

/** Health check of a cold upstream. */
export type ReportedCheck = {
	/** Host that sent it. */
	readonly host: string;
	/** When it was sent; monotonic, in milliseconds. */
	readonly at: number;
};

/** Upstream that is cold. */
export type ColdReport = UpstreamProcess & {
	readonly type: 'cold';
	/** End of its cold time; monotonic, in milliseconds. */
	readonly until: number;
	/** Health check that it got; it counts as a request. */
	readonly check?: ReportedCheck;
};

/** What an upstream states about itself in a response. */
export type UpstreamStatement
	= | RateLimitReport & {readonly type: 'rate-limit'}
		| UpstreamProcess & {readonly type: 'departure'};

export type UpstreamReport = ColdReport | UpstreamStatement;
