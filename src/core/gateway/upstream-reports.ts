/** What upstreams report about themselves in their responses and hosts tell each other. */
import {type Departure} from './departures.js';
import {type RateLimitReport} from './rate-limits.js';

export type UpstreamReport
	= | RateLimitReport & {readonly type: 'rate-limit'}
		| Departure & {readonly type: 'departure'};
