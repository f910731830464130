/** Circuit breakers: each upstream's consecutive failures open its circuit. */
import {type Feature} from '../../types/state.js';
import {withoutEffects} from '../../utils/common.js';
import {closeCircuit, countFailure, isUpstreamFailure} from './commands.js';

export const circuitsFeature: Feature = {
	name: 'circuits',
	handle(state, event, {now}) {
		switch (event.type) {
			case 'attempt-over': {
				const {attempt, ending} = event;
				if (isUpstreamFailure(ending)) {
					return withoutEffects(countFailure(state, attempt.upstream, now));
				}

				return withoutEffects(ending.type === 'done' ? closeCircuit(state, attempt.upstream) : state);
			}

			case 'upstream-restarted': {
				return withoutEffects(closeCircuit(state, event.upstream));
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};
