/** Updates the prefix index. */
import {Map as Table} from 'immutable';
import {type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {type CacheChange} from '../../types/upstream.js';
import {assertNever} from '../../utils/common.js';
import {findHolders} from './queries.js';
import {sampleDepths, type Blocks, type PrefixesState} from './types.js';

/** Blocks in each of the two generations. */
const maxGenerationBlocks = 16_384;
const maxHoldersPerBlock = 8;
/** Blocks not yet in the index that are added from one cache event. */
const maxNewBlocksPerEvent = 32;

function updatePrefixes(state: State, part: Partial<PrefixesState>): State {
	return {...state, prefixes: {...state.prefixes, ...part}};
}

function updateYoung(state: State, update: (young: Blocks) => Blocks): State {
	const young = state.prefixes.young.withMutations(table => update(table));
	return young.size > maxGenerationBlocks
		? updatePrefixes(state, {young: Table(), old: young})
		: updatePrefixes(state, {young});
}

function addHolder(state: State, blocks: readonly string[], upstream: string): State {
	const epoch = state.prefixes.epochs.get(upstream) ?? 0;
	return updateYoung(state, young => {
		for (const block of blocks) {
			const others = findHolders(state, block).filter(each => each.upstream !== upstream);
			young.set(block, [{upstream, epoch}, ...others].slice(0, maxHoldersPerBlock));
		}

		return young;
	});
}

function removeHolder(state: State, blocks: readonly string[], upstream: string): State {
	return updateYoung(state, young => {
		for (const block of blocks) {
			const known = findHolders(state, block);
			if (known.some(each => each.upstream === upstream)) {
				young.set(block, known.filter(each => each.upstream !== upstream));
			}
		}

		return young;
	});
}

/**
 * @param state - Core state.
 * @param upstream - Upstream whose cache is empty.
 * @returns The next state.
 */
export function clearUpstream(state: State, upstream: string): State {
	const epoch = (state.prefixes.epochs.get(upstream) ?? 0) + 1;
	return updatePrefixes(state, {epochs: state.prefixes.epochs.set(upstream, epoch)});
}

/**
 * @param state - Core state.
 * @param request - Request that was sent.
 * @param upstream - Upstream that will cache its prompt.
 * @returns The next state.
 */
export function recordRequest(state: State, request: Request, upstream: string): State {
	return addHolder(state, sampleDepths(request.blocks.length).map(index => request.blocks[index]!), upstream);
}

/**
 * @param state - Core state.
 * @param upstream - Upstream that published the change.
 * @param cacheChange - Change of its cache.
 * @returns The next state.
 */
export function applyCacheChange(state: State, upstream: string, cacheChange: CacheChange): State {
	switch (cacheChange.type) {
		case 'stored': {
			const {young, old} = state.prefixes;
			const accepted = cacheChange.blocks.filter((block, index) =>
				index < maxNewBlocksPerEvent || young.has(block) || old.has(block));
			return addHolder(state, accepted, upstream);
		}

		case 'evicted': {
			return removeHolder(state, cacheChange.blocks, upstream);
		}

		case 'cleared': {
			return clearUpstream(state, upstream);
		}

		default: {
			return assertNever(cacheChange.type);
		}
	}
}
