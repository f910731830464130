/** Remembers how long the answers of plain services took, by route. */

/** Answers that are remembered of each route. */
const maxTimes = 64;

/** Routes that are remembered; those of earlier configurations are forgotten first. */
const maxRoutes = 1000;

export class AnswerTimes {
	readonly #times = new Map<string, number[]>();

	/**
	 * @param route - Name of a route.
	 * @param took - Milliseconds from the sending of a request to the end of its answer.
	 */
	record(route: string, took: number): void {
		const times = this.#times.get(route) ?? [];
		this.#times.delete(route);
		this.#times.set(route, times);
		times.push(took);
		if (times.length > maxTimes) {
			times.shift();
		}

		if (this.#times.size > maxRoutes) {
			const [oldest] = this.#times.keys();
			this.#times.delete(oldest!);
		}
	}

	/**
	 * @param route - Name of a route.
	 * @returns The longest of its last answers, in milliseconds; undefined if none is known.
	 */
	estimate(route: string): number | undefined {
		const times = this.#times.get(route);
		return times === undefined ? undefined : Math.max(...times);
	}
}
