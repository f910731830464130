/** State of planned stops. */
import {Set as Group} from 'immutable';

export type StopsState = {
	/** Upstreams that are stopping now and get no new work. */
	readonly upstreams: Group<string>;
	/** Monotonic time of the next check, in milliseconds. */
	readonly nextCheck: number;
};

export const initialStops: StopsState = {upstreams: Group(), nextCheck: 0};
