/** Retry budget of each service: every admitted request adds the configured ratio, up to a burst. */
import {type Feature, type State} from '../../types/state.js';
import {withoutEffects} from '../../utils/common.js';
import {findService} from '../configuration/queries.js';
import {getBudget} from './queries.js';

function changeBudget(state: State, id: string, amount: number): State {
	const burst = findService(state, id)?.retryBudget.burst ?? 0;
	const remaining = Math.min(getBudget(state, id) + amount, burst);
	return {...state, retries: {budgets: state.retries.budgets.set(id, remaining)}};
}

export const retriesFeature: Feature = {
	name: 'retries',
	handle(state, event) {
		switch (event.type) {
			case 'request-admitted': {
				const id = event.request.service;
				return withoutEffects(changeBudget(state, id, findService(state, id)?.retryBudget.ratio ?? 0));
			}

			case 'request-retried': {
				return withoutEffects(changeBudget(state, event.request.service, -1));
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};
