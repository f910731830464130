/** Planned stops as they stand now. */
import {Set as Group} from 'immutable';

export type StopsState = {
	/** Upstreams in their time to stop: they get no new work. */
	readonly upstreams: Group<string>;
	/** Monotonic time of the next look, in milliseconds. */
	readonly nextCheck: number;
};

export const initialStops: StopsState = {upstreams: Group(), nextCheck: 0};
