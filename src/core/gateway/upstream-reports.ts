/** What upstreams report about themselves in their responses and hosts tell each other. */
import {type RateLimitReport} from './rate-limits.js';
import {type UpstreamProcess} from './types.js';

export type UpstreamReport
	= | RateLimitReport & {readonly type: 'rate-limit'}
		| UpstreamProcess & {readonly type: 'departure'};
