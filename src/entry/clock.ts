/** Time for the core. */
import {performance} from 'node:perf_hooks';

/** Monotonic and wall-clock time, both in milliseconds. */
export class Clock {
	/**
	 * @returns Monotonic time in milliseconds.
	 */
	now(): number {
		return performance.now();
	}

	/**
	 * @returns Milliseconds since 1970.
	 */
	wall(): number {
		return Date.now();
	}
}
