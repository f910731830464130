/** Placement: has engines hold what the document says, through one orderer for each. */
import {type Feature, type State} from '../../types/state.js';
import {only} from '../../utils/common.js';
import {handleOrdersRead, handleOrderAnswered} from './commands/orders.js';
import {reconcile} from './commands/reconcile.js';
import {initialPlacement} from './types.js';

/** After a pause another host may order in this one's place: everything is taken over anew, hold-off and seal included. */
function resetControl(state: State): State {
	return {...state, placement: {...state.placement, controlled: initialPlacement.controlled}};
}

export const placementFeature: Feature = {
	name: 'placement',
	handle(state, event, context) {
		switch (event.type) {
			case 'tick': {
				return reconcile(state, context);
			}

			case 'orders-read': {
				return handleOrdersRead(state, event, context.now);
			}

			case 'order-answered': {
				return handleOrderAnswered(state, event, context.now);
			}

			case 'woken': {
				return only(resetControl(state));
			}

			default: {
				return only(state);
			}
		}
	},
};
