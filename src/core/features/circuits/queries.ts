/** Queries on circuits. */
import {type State} from '../../types/state.js';
import {getView} from '../upstreams/queries.js';
import {failureThreshold} from './types.js';

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @param now - Time in milliseconds.
 * @returns Whether an attempt may be sent: always while the circuit is closed, never while open, then one at a time.
 */
export function canAttempt(state: State, upstream: string, now: number): boolean {
	const circuit = state.circuits.circuits.get(upstream);
	if (circuit === undefined || circuit.failures < failureThreshold) {
		return true;
	}

	return now >= circuit.openUntil && getView(state, upstream).requests === 0;
}
