/** Which upstreams are believed to hold which prompt prefixes: a hint, bounded and at times wrong. */
import {Map as Table} from 'immutable';

/** An upstream that is believed to hold a block. */
export type Holder = {
	readonly upstream: string;
	/** Holders of an earlier epoch than the upstream's are void. */
	readonly epoch: number;
};

export type Blocks = Table<string, readonly Holder[]>;

export type PrefixesState = {
	/** Blocks used lately. When they are too many they become the old ones, and the old ones go. */
	readonly young: Blocks;
	readonly old: Blocks;
	/** By upstream; raised when its cache is cleared or it restarts. */
	readonly epochs: Table<string, number>;
};

export const initialPrefixes: PrefixesState = {young: Table(), old: Table(), epochs: Table()};

/** Positions for each doubling of the depth; a match is found to within an eighth of its length. */
const stepsPerDoubling = 8;

/**
 * Chained hashes make one block stand for the whole prefix before it, so that a few depths are enough.
 *
 * @param length - Blocks of a prompt.
 * @returns Indexes that are looked up and remembered, the same for every prompt up to its length, rising.
 */
export function sampleDepths(length: number): readonly number[] {
	const all: number[] = [];
	for (let index = 0; index < length; index += Math.max(Math.floor((index + 1) / stepsPerDoubling), 1)) {
		all.push(index);
	}

	return all;
}
