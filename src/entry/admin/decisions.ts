/** Keeps recent decisions for operators to query. */
import {type Decision} from '../../core/index.js';

export type TimedDecision = {
	/** Milliseconds since 1970. */
	readonly time: number;
	readonly decision: Decision;
};

/** A bounded history that drops the oldest decisions. */
export class DecisionHistory {
	readonly #limit: number;
	readonly #clock: {readonly wall: () => number};
	#decisions: TimedDecision[] = [];
	#hasDropped = false;

	/**
	 * @param limit - Number of decisions kept; up to twice as many are held between trims.
	 * @param clock - Source of the wall-clock time.
	 */
	constructor(limit: number, clock: {readonly wall: () => number}) {
		this.#limit = limit;
		this.#clock = clock;
	}

	/** Whether older decisions have been dropped. */
	get hasDropped(): boolean {
		return this.#hasDropped;
	}

	/** Adds a decision with the current time. */
	add(decision: Decision): void {
		this.#decisions.push({time: this.#clock.wall(), decision});
		if (this.#decisions.length >= this.#limit * 2) {
			this.#decisions = this.#decisions.slice(-this.#limit);
			this.#hasDropped = true;
		}
	}

	/**
	 * @param request - Request id; undefined matches every decision.
	 * @param limit - Maximum number of decisions returned.
	 * @returns The latest decisions, oldest first.
	 */
	findLatest(request: string | undefined, limit: number): readonly TimedDecision[] {
		const found = request === undefined
			? this.#decisions
			: this.#decisions.filter(({decision}) => 'request' in decision && decision.request === request);
		return found.slice(-limit);
	}
}
