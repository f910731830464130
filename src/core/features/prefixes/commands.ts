/** Changes the prefix index. */
import {Map as Table} from 'immutable';
import {type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {type CacheChange} from '../../types/upstream.js';
import {assertNever} from '../../utils/common.js';
import {holders} from './queries.js';
import {depths, type Blocks, type PrefixesState} from './types.js';

/** Blocks of one generation; there are two. */
const mostBlocks = 16_384;
/** Upstreams remembered for one block. */
const mostHolders = 8;
/** Blocks that are taken from one cache event beside those already known. */
const mostNewBlocks = 32;

function change(state: State, part: Partial<PrefixesState>): State {
	return {...state, prefixes: {...state.prefixes, ...part}};
}

function putAll(state: State, entries: (young: Blocks) => Blocks): State {
	const young = state.prefixes.young.withMutations(table => entries(table));
	return young.size > mostBlocks
		? change(state, {young: Table(), old: young})
		: change(state, {young});
}

function store(state: State, blocks: readonly string[], upstream: string): State {
	const epoch = state.prefixes.epochs.get(upstream) ?? 0;
	return putAll(state, young => {
		for (const block of blocks) {
			const others = holders(state, block).filter(each => each.upstream !== upstream);
			young.set(block, [{upstream, epoch}, ...others].slice(0, mostHolders));
		}

		return young;
	});
}

function drop(state: State, blocks: readonly string[], upstream: string): State {
	return putAll(state, young => {
		for (const block of blocks) {
			const known = holders(state, block);
			if (known.some(each => each.upstream === upstream)) {
				young.set(block, known.filter(each => each.upstream !== upstream));
			}
		}

		return young;
	});
}

/**
 * @param state - Core state.
 * @param upstream - Upstream that holds nothing any more.
 * @returns The next state.
 */
export function clear(state: State, upstream: string): State {
	const epoch = (state.prefixes.epochs.get(upstream) ?? 0) + 1;
	return change(state, {epochs: state.prefixes.epochs.set(upstream, epoch)});
}

/**
 * @param state - Core state.
 * @param request - Request that was sent.
 * @param upstream - Upstream that will hold its prompt.
 * @returns The next state.
 */
export function remember(state: State, request: Request, upstream: string): State {
	return store(state, depths(request.blocks.length).map(index => request.blocks[index]!), upstream);
}

/**
 * @param state - Core state.
 * @param upstream - Upstream that published a change.
 * @param cacheChange - The change.
 * @returns The next state.
 */
export function apply(state: State, upstream: string, cacheChange: CacheChange): State {
	switch (cacheChange.type) {
		case 'stored': {
			const {young, old} = state.prefixes;
			const wanted = cacheChange.blocks.filter((block, index) =>
				index < mostNewBlocks || young.has(block) || old.has(block));
			return store(state, wanted, upstream);
		}

		case 'evicted': {
			return drop(state, cacheChange.blocks, upstream);
		}

		case 'cleared': {
			return clear(state, upstream);
		}

		default: {
			return assertNever(cacheChange.type);
		}
	}
}
