/** Time for the core. */
import {performance} from 'node:perf_hooks';

/** A point in time on both clocks, in milliseconds. */
export type Moment = {
	readonly monotonic: number;
	readonly wall: number;
};

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

	/**
	 * @param age - Milliseconds that it lies in the past.
	 * @returns The point in time.
	 */
	moment(age = 0): Moment {
		return {monotonic: this.now() - age, wall: this.wall() - age};
	}

	/**
	 * The monotonic clock may stop while the host is suspended, and the time of day may be set back: the one that says more counts.
	 *
	 * @param moment - Point in time.
	 * @returns Milliseconds since then, at the least what has really passed unless both clocks fail at once.
	 */
	since(moment: Moment): number {
		return Math.max(this.now() - moment.monotonic, this.wall() - moment.wall);
	}
}
