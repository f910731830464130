/**
 * Adds up the prefills of short prompts at each engine. One of 25 ms is measured with an error of its own length, as the prompt waits for the
 * end of an iteration that may just have begun; the sum of several shows the pace of an engine that gets only such prompts.
 */
import {maxPace, type PaceSample} from './paces.js';

/** Measured prefill of one short prompt. Times are in milliseconds. */
export type ShortPrefill = Omit<PaceSample, 'isEstimate' | 'phase'> & {
	/** Variance of the measured time. */
	readonly variance: number;
};

/** Least sum of configured prefill times, in milliseconds, that counts as a sample. */
export const minSampleMs = 100;

/** Largest error of a sum, in standard deviations, as a share of it: three make less than the factor from which a pace is clear. */
const maxError = 0.25;
const errorDeviations = 2;

/** Time in milliseconds within which the prefills of a sum have ended: a pace by older ones would be lost already. */
const windowMs = 4000;

/** Bounds of what is kept. */
const maxPrefills = 32;
const maxEngines = 2048;

function sum(prefills: readonly ShortPrefill[], select: (each: ShortPrefill) => number): number {
	let total = 0;
	for (const each of prefills) {
		total += select(each);
	}

	return total;
}

export class ShortPrefills {
	/** Recent prefills by engine, the longest unused engine first. */
	readonly #prefills = new Map<string, readonly ShortPrefill[]>();

	/**
	 * @param prefill - Measured prefill.
	 * @returns The sum of the recent ones at the same engine once it is long and certain enough; they are not counted again then.
	 */
	add(prefill: ShortPrefill): PaceSample | undefined {
		const {upstream, at} = prefill;
		const recent = [...(this.#prefills.get(upstream) ?? []).filter(each => at - each.at < windowMs), prefill].slice(-maxPrefills);
		this.#prefills.delete(upstream);
		const configured = sum(recent, each => each.configured);
		const measured = sum(recent, each => each.measured);
		const error = errorDeviations * Math.sqrt(sum(recent, each => each.variance));
		if (configured >= minSampleMs && error <= maxError * Math.max(configured, measured)) {
			return {
				upstream, phase: 'prefill', configured, measured: Math.max(measured, configured / maxPace), at, isEstimate: true,
			};
		}

		this.#prefills.set(upstream, recent);
		if (this.#prefills.size > maxEngines) {
			this.#prefills.delete(this.#prefills.keys().next().value!);
		}

		return undefined;
	}

	/**
	 * @param upstream - Engine that has restarted or is gone.
	 */
	forget(upstream: string): void {
		this.#prefills.delete(upstream);
	}
}
