/** Phase of this host: starts to serve with its first configuration, leaves when asked and stops when idle. */
import {type Feature, type State, type Step} from '../../types/state.js';
import {only} from '../../utils/common.js';
import {isIdle} from '../requests/queries.js';

function serve(state: State): Step {
	if (state.membership.phase !== 'starting') {
		return only(state);
	}

	return {
		state: {...state, membership: {...state.membership, phase: 'serving'}},
		effects: [{type: 'ready', ready: true}],
	};
}

function leave(state: State): Step {
	return {
		state: {...state, membership: {...state.membership, phase: 'leaving'}},
		effects: [{type: 'ready', ready: false}],
	};
}

function stopWhenIdle(state: State): Step {
	const over = state.membership.phase === 'leaving' && isIdle(state);
	return over ? {state, effects: [{type: 'stopped'}]} : only(state);
}

export const membershipFeature: Feature = {
	name: 'membership',
	handle(state, event) {
		switch (event.type) {
			case 'configuration-adopted': {
				return serve(state);
			}

			case 'stop-asked': {
				return leave(state);
			}

			case 'tick': {
				return stopWhenIdle(state);
			}

			default: {
				return only(state);
			}
		}
	},
};
