/** Reads the views of upstreams. */
import {type State} from '../../types/state.js';
import {type View} from './types.js';

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @returns The view, an empty one if nothing is known.
 */
export function view(state: State, upstream: string): View {
	return state.upstreams.views.get(upstream) ?? {
		upstream,
		requests: 0,
		prefill: 0,
		decode: 0,
		reachable: true,
	};
}
