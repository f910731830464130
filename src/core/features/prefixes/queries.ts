/** Queries on the prefix index. */
import {type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {sampleDepths, type Holder} from './types.js';

/**
 * @param state - Core state.
 * @param block - Hash of a block.
 * @returns Upstreams believed to cache it, most recent first.
 */
export function findHolders(state: State, block: string): readonly Holder[] {
	const {young, old, epochs} = state.prefixes;
	const known = young.get(block) ?? old.get(block) ?? [];
	return known.filter(each => each.epoch === (epochs.get(each.upstream) ?? 0));
}

/**
 * @param state - Core state.
 * @param request - Request.
 * @returns Prompt tokens believed to be cached, by upstream, longest match first; upstreams with none are absent.
 */
export function findCachedTokens(state: State, request: Request): ReadonlyMap<string, number> {
	const found = new Map<string, number>();
	const {blocks, promptTokens} = request;
	const perBlock = promptTokens / Math.max(blocks.length, 1);
	for (const index of sampleDepths(blocks.length).toReversed()) {
		for (const holder of findHolders(state, blocks[index]!)) {
			if (!found.has(holder.upstream)) {
				found.set(holder.upstream, Math.floor((index + 1) * perBlock));
			}
		}
	}

	return found;
}
