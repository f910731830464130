/** Retry budget of each service: a share of its requests, saved up to a burst. */
import {type Feature, type State} from '../../types/state.js';
import {only} from '../../utils/common.js';
import {service} from '../configuration/queries.js';
import {budget} from './queries.js';

function change(state: State, id: string, amount: number): State {
	const burst = service(state, id)?.retryBudget.burst ?? 0;
	const left = Math.min(budget(state, id) + amount, burst);
	return {...state, retries: {budgets: state.retries.budgets.set(id, left)}};
}

export const retriesFeature: Feature = {
	name: 'retries',
	handle(state, event) {
		switch (event.type) {
			case 'request-admitted': {
				const id = event.request.service;
				return only(change(state, id, service(state, id)?.retryBudget.ratio ?? 0));
			}

			case 'request-retried': {
				return only(change(state, event.request.service, -1));
			}

			default: {
				return only(state);
			}
		}
	},
};
