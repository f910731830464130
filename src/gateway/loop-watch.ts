/** Notices that this host stood still or got too little processor time, so that what it reads may be old. */
import {type Clock, type Timestamp} from '../entry/clock.js';

/** Time in milliseconds between two turns, and how late one may be. */
const turnIntervalMs = 50;
const toleranceMs = 30;

export class LoopWatch implements Disposable {
	readonly #clock: Clock;
	readonly #timer: NodeJS.Timeout;
	#turnedAt: Timestamp;
	#stalledUntil = Number.NEGATIVE_INFINITY;

	/**
	 * @param clock - Monotonic and wall clock: the former may stop while the host is suspended.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
		this.#turnedAt = clock.createTimestamp();
		this.#timer = setInterval(() => {
			if (this.#isLate) {
				this.#stalledUntil = clock.now();
			}

			this.#turnedAt = clock.createTimestamp();
		}, turnIntervalMs);
		this.#timer.unref();
	}

	/**
	 * @param since - Monotonic time in milliseconds.
	 * @returns Whether this host has stood still at some time since then.
	 */
	hasStalledSince(since: number): boolean {
		return this.#stalledUntil >= since || this.#isLate;
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}

	get #isLate(): boolean {
		return this.#clock.getElapsedTime(this.#turnedAt) > turnIntervalMs + toleranceMs;
	}
}
