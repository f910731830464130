/** Routing: counts arriving work by prompt length, and requests sent for round-robin. */
import {type Feature} from '../../types/state.js';
import {only} from '../../utils/common.js';
import {countArrival, advanceTurn} from './commands.js';

export const routingFeature: Feature = {
	name: 'routing',
	handle(state, event, {now}) {
		switch (event.type) {
			case 'request-cleared': {
				return only(countArrival(state, event.request, now));
			}

			case 'attempt-began': {
				return only(advanceTurn(state, event.request.service));
			}

			default: {
				return only(state);
			}
		}
	},
};
