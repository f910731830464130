/** Gives engines their memory back: what a request needs no longer, and what dead owners have left. */
import {type Feature} from '../../types/state.js';
import {only} from '../../utils/common.js';
import {
	confirm, forget, pressReleases, release, reviewAll,
} from './commands.js';

export const holdsFeature: Feature = {
	name: 'holds',
	handle(state, event, context) {
		switch (event.type) {
			case 'release-wanted': {
				return release(state, event.hold, event.upstream, context);
			}

			case 'holds-listed': {
				return reviewAll(state, event.upstream, event.holds, context);
			}

			case 'hold-released': {
				return only(confirm(state, event.hold));
			}

			case 'upstream-restarted': {
				return only(forget(state, event.upstream));
			}

			case 'tick': {
				return pressReleases(state, context);
			}

			default: {
				return only(state);
			}
		}
	},
};
