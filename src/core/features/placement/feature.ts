/** Placement: has engines hold what the document says, through one orderer for each. */
import {type Feature, type State} from '../../types/state.js';
import {only} from '../../utils/common.js';
import {takeAccount, takeAnswer} from './commands/conduct.js';
import {look} from './commands/look.js';
import {initialPlacement} from './types.js';

/** After a pause another host may order in this one's place: everything is taken over anew, hold-off and seal included. */
function wake(state: State): State {
	return {...state, placement: {...state.placement, conducts: initialPlacement.conducts}};
}

export const placementFeature: Feature = {
	name: 'placement',
	handle(state, event, context) {
		switch (event.type) {
			case 'tick': {
				return look(state, context);
			}

			case 'orders-read': {
				return takeAccount(state, event, context.now);
			}

			case 'order-answered': {
				return takeAnswer(state, event, context.now);
			}

			case 'woken': {
				return only(wake(state));
			}

			default: {
				return only(state);
			}
		}
	},
};
