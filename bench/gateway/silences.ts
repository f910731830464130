/** Silences of model engines in virtual time: an engine sends nothing and starts nothing, then goes on where it was. */
import {SeededRandom} from '../fuzz/random.js';

/** A silence of one engine. Times are in milliseconds. */
export type EngineSilence = {
	/** Index of the engine. */
	readonly engine: number;
	readonly from: number;
	/** Infinite if it never sends anything again. */
	readonly until: number;
};

/** Engines that fall silent at the same time. */
export type SilenceScope = 'all' | 'one' | 'some';

/** Series of silences to draw. Times are in milliseconds. */
export type SilenceSeries = {
	readonly engines: number;
	readonly scope: SilenceScope;
	/** When the first silence begins, and when none begins any more. */
	readonly from: number;
	readonly until: number;
	/** Whether one of the engines never sends anything again from some silence on. */
	readonly hasDeath?: boolean;
};

const durationMs = {least: 900, most: 1500};

/** Shortest and longest time from the beginning of a silence to the next one. */
const intervalMs = {least: 3000, most: 6000};

/** Longest time by which the engines of a silence fall silent, or go on, after each other. */
const maxSpreadMs = 40;

/** Shares of the engines that are silent if some are, in percent. */
const someShares = {least: 30, most: 80};

function drawEngines(random: SeededRandom, scope: SilenceScope, count: number): readonly number[] {
	const all = Array.from({length: count}, (_, engine) => engine);
	const percent = random.integer(someShares.least, someShares.most);
	switch (scope) {
		case 'all': {
			return all;
		}

		case 'one': {
			return [random.pick(all)];
		}

		case 'some': {
			return all.filter(() => random.chance(percent));
		}
	}
}

/**
 * @param series - Silences to draw.
 * @param seed - Seed.
 * @returns The silences in order of time; the same seed gives the same ones.
 */
export function drawSilences({engines, scope, from, until, hasDeath = false}: SilenceSeries, seed: number): readonly EngineSilence[] {
	const random = new SeededRandom(seed);
	const silences: EngineSilence[] = [];
	for (let at = from; at < until; at += random.integer(intervalMs.least, intervalMs.most)) {
		const duration = random.integer(durationMs.least, durationMs.most);
		for (const engine of drawEngines(random, scope, engines)) {
			const begin = at + random.integer(0, maxSpreadMs);
			silences.push({engine, from: begin, until: begin + duration + random.integer(0, maxSpreadMs)});
		}
	}

	if (!hasDeath || silences.length === 0) {
		return silences;
	}

	const dead = random.pick(silences);
	return [...silences.filter(({engine, from}) => engine !== dead.engine || from < dead.from), {...dead, until: Number.POSITIVE_INFINITY}];
}

/** When engines run and when they are silent. */
export class EngineClocks {
	readonly #silences = new Map<number, readonly EngineSilence[]>();

	/**
	 * @param silences - Silences of the engines; those of one engine don't overlap.
	 */
	constructor(silences: readonly EngineSilence[]) {
		for (const silence of silences.toSorted((a, b) => a.from - b.from)) {
			this.#silences.set(silence.engine, [...this.#silences.get(silence.engine) ?? [], silence]);
		}
	}

	/**
	 * @param engine - Index of an engine.
	 * @param at - Time in milliseconds.
	 * @param duration - Milliseconds for which it has to run.
	 * @returns When it has run for so long from that time on; infinite if it never does.
	 */
	computeEnd(engine: number, at: number, duration: number): number {
		let end = at + duration;
		for (const {from, until} of this.#silences.get(engine) ?? []) {
			if (until > at && from <= end) {
				end += until - Math.max(from, at);
			}
		}

		return end;
	}

	/**
	 * @param engine - Index of an engine.
	 * @param at - Time in milliseconds.
	 * @returns Whether it is silent then.
	 */
	isSilent(engine: number, at: number): boolean {
		return (this.#silences.get(engine) ?? []).some(({from, until}) => from <= at && at < until);
	}

	/**
	 * @param engine - Index of an engine.
	 * @param at - Time in milliseconds.
	 * @returns Whether it never sends anything again.
	 */
	isDead(engine: number, at: number): boolean {
		return (this.#silences.get(engine) ?? []).some(({from, until}) => from <= at && until === Number.POSITIVE_INFINITY);
	}
}
