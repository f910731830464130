/** Seeded arrivals: prompts of very unlike lengths, from organisations of very unlike sizes. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {type Random} from '../../src/core/index.js';

export type Arrival = {
	/** Milliseconds. */
	readonly at: number;
	readonly host: number;
	readonly organisation: string;
	readonly promptTokens: number;
	readonly output: number;
	/** Common start of prompts, and its length in tokens. */
	readonly prefix: string;
	readonly prefixTokens: number;
};

export type Workload = {
	readonly seed: number;
	readonly hosts: number;
	/** Milliseconds. */
	readonly duration: number;
	/** Requests a second, all hosts together. */
	readonly rate: number;
	/** Part of requests by organisation. */
	readonly organisations: ReadonlyArray<{readonly id: string; readonly part: number}>;
	/** Part of prompts that are short, and that are long; the rest is between. */
	readonly shortPart: number;
	readonly longPart: number;
	readonly longest: number;
};

export const shortest = 1000;
export const shortTokens = 4096;
export const longTokens = 100_000;

const resolution = 1_000_000_000;

/** A seeded source of numbers. */
export function seeded(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return {
		integer: (least, most) => uniformInt(generator, least, most),
	};
}

function part(random: Random): number {
	return random.integer(1, resolution) / resolution;
}

function between(random: Random, least: number, most: number): number {
	return Math.round(least * ((most / least) ** part(random)));
}

function length(random: Random, workload: Workload): number {
	const drawn = part(random);
	if (drawn <= workload.longPart) {
		return between(random, longTokens, workload.longest);
	}

	return drawn <= workload.longPart + workload.shortPart
		? between(random, shortest, shortTokens)
		: between(random, shortTokens + 1, longTokens - 1);
}

function organisation(random: Random, workload: Workload): string {
	let left = part(random);
	for (const each of workload.organisations) {
		left -= each.part;
		if (left <= 0) {
			return each.id;
		}
	}

	return workload.organisations.at(-1)!.id;
}

/** Tokens of the prefixes that each organisation uses. */
const prefixLengths = [512, 1024, 2048, 4096, 8192, 16_384];
/** Part of a prompt that may be shared. */
const sharedPart = 0.8;
const leastOutput = 16;
const mostOutput = 256;

/**
 * @param workload - What arrives.
 * @returns Arrivals in order of time, the same for the same seed.
 */
export function arrivals(workload: Workload): readonly Arrival[] {
	const random = seeded(workload.seed);
	const all: Arrival[] = [];
	for (let at = 0; at < workload.duration;) {
		at += -Math.log(part(random)) * 1000 / workload.rate;
		const id = organisation(random, workload);
		const promptTokens = length(random, workload);
		const prefix = random.integer(0, prefixLengths.length - 1);
		all.push({
			at,
			host: random.integer(0, workload.hosts - 1),
			organisation: id,
			promptTokens,
			output: random.integer(leastOutput, mostOutput),
			prefix: `${id}/${prefix}`,
			prefixTokens: Math.min(prefixLengths[prefix]!, Math.floor(promptTokens * sharedPart)),
		});
	}

	return all;
}
