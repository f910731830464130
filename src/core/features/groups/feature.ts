/** Groups of engines for prompts that do not fit into the memory of one engine. */
import {type Feature} from '../../types/state.js';
import {withoutEffects} from '../../utils/common.js';
import {dissolveGroup} from './commands/release.js';
import {
	formGroup, handleHoldAnswer, handleEngineLoss, advanceGroups,
} from './commands/reserve.js';

export const groupsFeature: Feature = {
	name: 'groups',
	handle(state, event, context) {
		switch (event.type) {
			case 'group-wanted': {
				return formGroup(state, event.request, context);
			}

			case 'hold-answered': {
				return handleHoldAnswer(state, event, context);
			}

			case 'attempt-over': {
				return event.attempt.prefillShares === undefined
					? withoutEffects(state)
					: dissolveGroup(state, event.request.id, 'attempt over');
			}

			case 'request-concluded': {
				return dissolveGroup(state, event.request.id, 'request over');
			}

			case 'upstream-restarted':
			case 'upstream-unreachable': {
				return handleEngineLoss(state, event.upstream, context);
			}

			case 'tick': {
				return advanceGroups(state, context);
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};
