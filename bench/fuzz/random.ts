/** A seeded source of random numbers for fuzz runs. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

export class SeededRandom {
	readonly #generator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/**
	 * @param min - Smallest number.
	 * @param max - Largest number.
	 * @returns A whole number from `min` to `max`, both included.
	 */
	integer(min: number, max: number): number {
		return uniformInt(this.#generator, min, max);
	}

	/**
	 * @param percent - Probability in percent.
	 * @returns True with this probability.
	 */
	chance(percent: number): boolean {
		return this.integer(1, 100) <= percent;
	}

	/**
	 * @param all - Values to choose from, at least one.
	 * @returns One of them.
	 */
	pick<T>(all: readonly T[]): T {
		return all[this.integer(0, all.length - 1)]!;
	}
}
