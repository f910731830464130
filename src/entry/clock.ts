/** Monotonic and wall-clock time. */
import {performance} from 'node:perf_hooks';

/** A point in time on both clocks, in milliseconds. */
export type Timestamp = {
	readonly monotonic: number;
	readonly wall: number;
};

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

	/**
	 * @param age - How far in the past the point in time lies, in milliseconds.
	 * @returns The point in time on both clocks.
	 */
	createTimestamp(age = 0): Timestamp {
		return {monotonic: this.now() - age, wall: this.wall() - age};
	}

	/**
	 * Measures the time since a moment on both clocks and takes the larger value, because the monotonic clock may stop while the
	 * host is suspended and the wall clock may be set back.
	 *
	 * @returns Elapsed milliseconds; never too few unless both clocks are wrong at once.
	 */
	getElapsedTime(timestamp: Timestamp): number {
		return Math.max(this.now() - timestamp.monotonic, this.wall() - timestamp.wall);
	}
}
