/** Model placement: one host, the engine's controller, orders each engine to load what the configuration assigns to it. */
import {type Feature, type State} from '../../types/state.js';
import {withoutEffects} from '../../utils/common.js';
import {handleOrdersRead, handleOrderAnswered} from './commands/orders.js';
import {reconcile} from './commands/reconcile.js';
import {initialPlacement} from './types.js';

/** After a pause of the process another host may control its engines, so each is taken over again, with delay and seal. */
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
				return withoutEffects(resetControl(state));
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};
