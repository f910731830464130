/** Releases KV memory that is reserved at engines: holds that a request no longer needs and those of dead owners. */
import {type Feature} from '../../types/state.js';
import {withoutEffects} from '../../utils/common.js';
import {
	confirmRelease, dropReleases, requestRelease, retryReleases, reviewHolds,
} from './commands.js';

export const holdsFeature: Feature = {
	name: 'holds',
	handle(state, event, context) {
		switch (event.type) {
			case 'release-wanted': {
				return requestRelease(state, event.hold, event.upstream, context);
			}

			case 'holds-listed': {
				return reviewHolds(state, event.upstream, event.holds, context);
			}

			case 'hold-released': {
				return withoutEffects(confirmRelease(state, event.hold));
			}

			case 'upstream-restarted': {
				return withoutEffects(dropReleases(state, event.upstream));
			}

			case 'tick': {
				return retryReleases(state, context);
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};
