/** Decides whether an arrived request may run here. */
import {type Feature} from '../../types/state.js';
import {only} from '../../utils/common.js';

export const ticketsFeature: Feature = {
	name: 'tickets',
	handle(state, event) {
		switch (event.type) {
			case 'request-arrived': {
				return {state, effects: [{type: 'raise', event: {type: 'request-cleared', request: event.request}}]};
			}

			default: {
				return only(state);
			}
		}
	},
};
