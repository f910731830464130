/** Opens and closes circuits. */
import {type Ending} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {trim} from '../../utils/bounded.js';
import {codes} from '../../errors.js';
import {failuresToOpen, type Circuit} from './types.js';

/** Time a circuit stays open at first and at most, in milliseconds; it doubles with each failure. */
const shortest = 500;
const longest = 20_000;
const mostCircuits = 1024;

function put(state: State, upstream: string, circuit: Circuit): State {
	const circuits = state.circuits.circuits.set(upstream, circuit);
	return {...state, circuits: {circuits: trim(circuits, mostCircuits, each => each.openUntil)}};
}

/**
 * Tells failures of the upstream from those of the request: a refusal for load and an error answer are none.
 *
 * @param ending - How an attempt ended.
 * @returns Whether the upstream is to blame.
 */
export function isUpstreamFailure(ending: Ending): boolean {
	switch (ending.type) {
		case 'not-run': {
			return !ending.overload;
		}

		case 'unknown': {
			return true;
		}

		case 'failed': {
			return ending.code === codes.streamCut || ending.code === codes.frameMismatch;
		}

		default: {
			return false;
		}
	}
}

/**
 * @param state - Core state.
 * @param upstream - Upstream that failed.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function countFailure(state: State, upstream: string, now: number): State {
	const failures = (state.circuits.circuits.get(upstream)?.failures ?? 0) + 1;
	const doublings = Math.max(failures - failuresToOpen, 0);
	const pause = Math.min(shortest * (2 ** doublings), longest);
	return put(state, upstream, {failures, openUntil: now + pause});
}

/**
 * @param state - Core state.
 * @param upstream - Upstream that answered.
 * @returns The next state.
 */
export function close(state: State, upstream: string): State {
	return state.circuits.circuits.has(upstream)
		? {...state, circuits: {circuits: state.circuits.circuits.delete(upstream)}}
		: state;
}
