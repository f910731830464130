/** Recent decisions, kept for operators to look up. */
import {type Decision} from '../../core/index.js';

export type DatedDecision = {
	/** Milliseconds since 1970. */
	readonly time: number;
	readonly decision: Decision;
};

/** A bounded list: the oldest decisions make room for new ones. */
export class Decisions {
	readonly #limit: number;
	readonly #clock: {readonly wall: () => number};
	#kept: DatedDecision[] = [];
	#isDropped = false;

	/**
	 * @param limit - Decisions kept.
	 * @param clock - Time.
	 */
	constructor(limit: number, clock: {readonly wall: () => number}) {
		this.#limit = limit;
		this.#clock = clock;
	}

	/** Whether older decisions have been dropped. */
	get isDropped(): boolean {
		return this.#isDropped;
	}

	/**
	 * @param decision - Decision to keep.
	 */
	add(decision: Decision): void {
		this.#kept.push({time: this.#clock.wall(), decision});
		if (this.#kept.length >= this.#limit * 2) {
			this.#kept = this.#kept.slice(-this.#limit);
			this.#isDropped = true;
		}
	}

	/**
	 * @param request - Request, or undefined for all.
	 * @param limit - The most to return.
	 * @returns The latest decisions, oldest first.
	 */
	latest(request: string | undefined, limit: number): readonly DatedDecision[] {
		const found = request === undefined
			? this.#kept
			: this.#kept.filter(({decision}) => 'request' in decision && decision.request === request);
		return found.slice(-limit);
	}
}
