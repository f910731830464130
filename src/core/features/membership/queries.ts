/** Reads membership. */
import {type State} from '../../types/state.js';

/**
 * @param state - Core state.
 * @returns Whether this host takes new work.
 */
export function isServing(state: State): boolean {
	return state.membership.phase === 'serving';
}

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @returns Prefill and decode tokens that connected peers have in flight there.
 */
export function peersWork(state: State, upstream: string): number {
	let work = 0;
	for (const peer of state.membership.peers.values()) {
		const load = peer.connected ? peer.loads.get(upstream) : undefined;
		work += load === undefined ? 0 : load.prefill + load.decode;
	}

	return work;
}
