/** Limits of organisations. Hosts divide each limit by the demand that they publish, without further coordination. */
import {type Feature} from '../../types/state.js';
import {withoutEffects} from '../../utils/common.js';
import {charge, countDemand} from './commands.js';

export const limitsFeature: Feature = {
	name: 'limits',
	handle(state, event, {now}) {
		switch (event.type) {
			case 'request-cleared': {
				return withoutEffects(countDemand(state, event.request, now));
			}

			case 'request-admitted': {
				return withoutEffects(charge(state, event.request, now));
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};
