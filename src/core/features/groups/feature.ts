/** Groups of engines for prompts that no engine holds alone. */
import {type Feature} from '../../types/state.js';
import {only} from '../../utils/common.js';
import {dissolve} from './commands/release.js';
import {
	form, hear, loseEngine, pressGroups,
} from './commands/seek.js';

export const groupsFeature: Feature = {
	name: 'groups',
	handle(state, event, context) {
		switch (event.type) {
			case 'group-wanted': {
				return form(state, event.request, context);
			}

			case 'hold-answered': {
				return hear(state, event, context);
			}

			case 'attempt-over': {
				return event.attempt.parts === undefined
					? only(state)
					: dissolve(state, event.request.id, 'attempt over');
			}

			case 'request-concluded': {
				return dissolve(state, event.request.id, 'request over');
			}

			case 'upstream-restarted':
			case 'upstream-unreachable': {
				return loseEngine(state, event.upstream, context);
			}

			case 'tick': {
				return pressGroups(state, context);
			}

			default: {
				return only(state);
			}
		}
	},
};
