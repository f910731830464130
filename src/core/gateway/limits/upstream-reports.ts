/** What upstreams report about themselves in their responses and hosts tell each other. */
import {type UpstreamProcess} from '../types.js';
import {type RateLimitReport} from './rate-limits.js';

/** Upstream that is cold. */
export type ColdReport = UpstreamProcess & {
	readonly type: 'cold';
	/** End of its cold time; monotonic, in milliseconds. */
	readonly until: number;
};

/** What an upstream states about itself in a response. */
export type UpstreamStatement
	= | RateLimitReport & {readonly type: 'rate-limit'}
		| UpstreamProcess & {readonly type: 'departure'};

export type UpstreamReport = ColdReport | UpstreamStatement;
