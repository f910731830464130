/** Index of the prompt prefixes that upstreams are believed to cache. It is bounded, and only a hint: entries may be stale. */
import {Map as Table} from 'immutable';

/** An upstream that is believed to cache a block. */
export type Holder = {
	readonly upstream: string;
	/** Epoch of the upstream when the holder was added; holders of earlier epochs are ignored. */
	readonly epoch: number;
};

export type Blocks = Table<string, readonly Holder[]>;

export type PrefixesState = {
	/** Recently used blocks. When full, this generation replaces the old one, which is discarded. */
	readonly young: Blocks;
	readonly old: Blocks;
	/** By upstream; incremented when its cache is cleared or it restarts. */
	readonly epochs: Table<string, number>;
};

export const initialPrefixes: PrefixesState = {young: Table(), old: Table(), epochs: Table()};

/** Positions for each doubling of the depth: the length of a match is found to within an eighth. */
const stepsPerDoubling = 8;

/**
 * Selects the block positions that are indexed. Hashes are chained, so one block identifies the whole prefix up to it and a few
 * positions are enough.
 *
 * @param length - Number of blocks of a prompt.
 * @returns Positions in ascending order; a longer prompt has the same ones and more.
 */
export function sampleDepths(length: number): readonly number[] {
	const all: number[] = [];
	for (let index = 0; index < length; index += Math.max(Math.floor((index + 1) / stepsPerDoubling), 1)) {
		all.push(index);
	}

	return all;
}
