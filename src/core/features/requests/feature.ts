/** Admits requests, sends them to upstreams and concludes them. */
import {type Feature} from '../../types/state.js';
import {chain, only} from '../../utils/common.js';
import {admit} from './commands/admit.js';
import {end, markWritten, progress} from './commands/attempts.js';
import {dispatch, wakeQueues} from './commands/dispatch.js';
import {abandon, expire, seal} from './commands/expire.js';
import {sendToGroup, waitAgain} from './commands/group.js';

export const requestsFeature: Feature = {
	name: 'requests',
	handle(state, event, context) {
		switch (event.type) {
			case 'request-cleared': {
				return admit(state, event.request, context);
			}

			case 'dispatch-wanted': {
				return dispatch(state, event.service, context);
			}

			case 'group-held': {
				return sendToGroup(state, event, context);
			}

			case 'group-failed': {
				return only(waitAgain(state, event.request.id));
			}

			case 'attempt-written': {
				return only(markWritten(state, event.attempt));
			}

			case 'attempt-progressed': {
				return progress(state, event, context.now);
			}

			case 'attempt-ended': {
				return end(state, event.attempt, event.ending, context.now);
			}

			case 'request-sealed': {
				return seal(state, event.request);
			}

			case 'request-abandoned': {
				return abandon(state, event.request);
			}

			case 'tick': {
				return chain(state, current => expire(current, context.now), current => wakeQueues(current));
			}

			default: {
				return only(state);
			}
		}
	},
};
