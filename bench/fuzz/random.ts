/** A seeded random source for the fuzz runs. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

export class Dice {
	readonly #generator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/**
	 * @param least - Smallest number.
	 * @param most - Largest number.
	 * @returns A whole number from `least` to `most`, both included.
	 */
	integer(least: number, most: number): number {
		return uniformInt(this.#generator, least, most);
	}

	/**
	 * @param percent - Chance in percent.
	 * @returns Whether it came true.
	 */
	chance(percent: number): boolean {
		return this.integer(1, 100) <= percent;
	}

	/**
	 * @param all - Things to choose from, at least one.
	 * @returns One of them.
	 */
	pick<T>(all: readonly T[]): T {
		return all[this.integer(0, all.length - 1)]!;
	}
}
