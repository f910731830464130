/** Opens and closes circuits. */
import {type Ending} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {removeOldest} from '../../utils/bounded.js';
import {codes} from '../../errors.js';
import {failureThreshold, type Circuit} from './types.js';

/** A circuit stays open for the minimum at first; each further failure doubles the time, up to the maximum. */
const minOpenMs = 500;
const maxOpenMs = 20_000;
const maxCircuits = 1024;

function setCircuit(state: State, upstream: string, circuit: Circuit): State {
	const circuits = state.circuits.circuits.set(upstream, circuit);
	return {...state, circuits: {circuits: removeOldest(circuits, maxCircuits, each => each.openUntil)}};
}

/**
 * Distinguishes failures of the upstream from those of the request. A refusal for load and an error response do not count.
 *
 * @param ending - How an attempt ended.
 * @returns Whether the attempt counts as a failure of the upstream.
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
	const doublings = Math.max(failures - failureThreshold, 0);
	const openDuration = Math.min(minOpenMs * (2 ** doublings), maxOpenMs);
	return setCircuit(state, upstream, {failures, openUntil: now + openDuration});
}

/**
 * @param state - Core state.
 * @param upstream - Upstream that answered or restarted.
 * @returns The next state.
 */
export function closeCircuit(state: State, upstream: string): State {
	return state.circuits.circuits.has(upstream)
		? {...state, circuits: {circuits: state.circuits.circuits.delete(upstream)}}
		: state;
}
