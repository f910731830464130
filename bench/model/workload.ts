/** Generates arrivals from a seed: prompts of widely different lengths from organisations of widely different sizes. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {type Random} from '../../src/core/index.js';

export type Arrival = {
	/** Milliseconds. */
	readonly at: number;
	readonly host: number;
	readonly organisation: string;
	readonly promptTokens: number;
	/** Tokens of the answer. */
	readonly output: number;
	/** Prefix that several prompts share. */
	readonly prefix: string;
	readonly prefixTokens: number;
};

export type Workload = {
	readonly seed: number;
	readonly hosts: number;
	/** Milliseconds. */
	readonly duration: number;
	/** Requests per second for all hosts together. */
	readonly rate: number;
	/** Share of the requests by organisation. */
	readonly organisations: ReadonlyArray<{readonly id: string; readonly share: number}>;
	/** Shares of short and long prompts; the rest are of middle length. */
	readonly shortShare: number;
	readonly longShare: number;
	/** Longest prompt. */
	readonly maxPromptTokens: number;
};

export const minPromptTokens = 1000;
export const maxShortTokens = 4096;
export const minLongTokens = 100_000;

const resolution = 1_000_000_000;

/** Creates a seeded source of random numbers. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return {
		integer: (least, most) => uniformInt(generator, least, most),
	};
}

function drawFraction(random: Random): number {
	return random.integer(1, resolution) / resolution;
}

function drawLogUniform(random: Random, least: number, most: number): number {
	return Math.round(least * ((most / least) ** drawFraction(random)));
}

function drawPromptTokens(random: Random, workload: Workload): number {
	const drawn = drawFraction(random);
	if (drawn <= workload.longShare) {
		return drawLogUniform(random, minLongTokens, workload.maxPromptTokens);
	}

	return drawn <= workload.longShare + workload.shortShare
		? drawLogUniform(random, minPromptTokens, maxShortTokens)
		: drawLogUniform(random, maxShortTokens + 1, minLongTokens - 1);
}

function drawOrganisation(random: Random, workload: Workload): string {
	let remaining = drawFraction(random);
	for (const each of workload.organisations) {
		remaining -= each.share;
		if (remaining <= 0) {
			return each.id;
		}
	}

	return workload.organisations.at(-1)!.id;
}

/** Lengths of the prefixes that each organisation uses. */
const prefixTokenCounts = [512, 1024, 2048, 4096, 8192, 16_384];
/** Largest share of a prompt that its prefix may take. */
const maxPrefixShare = 0.8;
const minOutputTokens = 16;
const maxOutputTokens = 256;

/**
 * @param workload - Workload.
 * @returns Arrivals in order of time, the same for the same seed.
 */
export function generateArrivals(workload: Workload): readonly Arrival[] {
	const random = createRandom(workload.seed);
	const all: Arrival[] = [];
	for (let at = 0; at < workload.duration;) {
		at += -Math.log(drawFraction(random)) * 1000 / workload.rate;
		const id = drawOrganisation(random, workload);
		const promptTokens = drawPromptTokens(random, workload);
		const prefix = random.integer(0, prefixTokenCounts.length - 1);
		all.push({
			at,
			host: random.integer(0, workload.hosts - 1),
			organisation: id,
			promptTokens,
			output: random.integer(minOutputTokens, maxOutputTokens),
			prefix: `${id}/${prefix}`,
			prefixTokens: Math.min(prefixTokenCounts[prefix]!, Math.floor(promptTokens * maxPrefixShare)),
		});
	}

	return all;
}
