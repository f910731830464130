/** Groups of engines for prompts that no engine holds alone. */
import {type Feature} from '../../types/state.js';
import {chain, only} from '../../utils/common.js';
import {
	confirmRelease, dissolve, forgetReleases, pressReleases,
} from './commands/release.js';
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

			case 'hold-released': {
				return only(confirmRelease(state, event.hold));
			}

			case 'attempt-over': {
				return event.attempt.parts === undefined
					? only(state)
					: dissolve(state, event.request.id, context.now, 'attempt over');
			}

			case 'request-concluded': {
				return dissolve(state, event.request.id, context.now, 'request over');
			}

			case 'upstream-restarted': {
				return chain(
					state,
					current => loseEngine(current, event.upstream, context),
					current => only(forgetReleases(current, event.upstream)),
				);
			}

			case 'upstream-unreachable': {
				return loseEngine(state, event.upstream, context);
			}

			case 'tick': {
				return chain(
					state,
					current => pressGroups(current, context),
					current => pressReleases(current, context.now),
				);
			}

			default: {
				return only(state);
			}
		}
	},
};
