/** Updates the round-robin turns and the arrival rates. */
import {type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {addAmount} from '../../utils/rates.js';
import {findService} from '../configuration/queries.js';
import {arrivalWindowMs, getModelLengthClass} from './segments.js';
import {noArrivals} from './types.js';

/**
 * @param state - Core state.
 * @param id - Service of a request that was sent.
 * @returns The next state.
 */
export function advanceTurn(state: State, id: string): State {
	const turns = state.routing.turns.set(id, (state.routing.turns.get(id) ?? 0) + 1);
	return {...state, routing: {...state.routing, turns}};
}

/**
 * @param state - Core state.
 * @param request - Request that arrived.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function countArrival(state: State, request: Request, now: number): State {
	const requestedService = findService(state, request.service);
	if (requestedService?.kind !== 'model') {
		return state;
	}

	const length = getModelLengthClass(requestedService, request.promptTokens);
	const before = state.routing.arrivals.get(requestedService.id) ?? noArrivals;
	const after = {...before, [length]: addAmount(before[length], request.promptTokens, now, arrivalWindowMs)};
	return {...state, routing: {...state.routing, arrivals: state.routing.arrivals.set(requestedService.id, after)}};
}
