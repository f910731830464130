/** Routing: counts arriving work by prompt length, and requests sent for round-robin. */
import {type Feature} from '../../types/state.js';
import {withoutEffects} from '../../utils/common.js';
import {countArrival, advanceTurn} from './commands.js';

export const routingFeature: Feature = {
	name: 'routing',
	handle(state, event, {now}) {
		switch (event.type) {
			case 'request-cleared': {
				return withoutEffects(countArrival(state, event.request, now));
			}

			case 'attempt-began': {
				return withoutEffects(advanceTurn(state, event.request.service));
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};
