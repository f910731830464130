/** Admits requests, sends them to upstreams and concludes them. */
import {type Feature} from '../../types/state.js';
import {chain, withoutEffects} from '../../utils/common.js';
import {admit} from './commands/admit.js';
import {endAttempt, markWritten, recordProgress} from './commands/attempts.js';
import {dispatch, requestDispatch} from './commands/dispatch.js';
import {abandonRequest, expireRequests, stopSealed} from './commands/expire.js';
import {returnToQueue, sendToGroup} from './commands/group.js';

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
				return withoutEffects(returnToQueue(state, event.request.id));
			}

			case 'attempt-written': {
				return withoutEffects(markWritten(state, event.attempt));
			}

			case 'attempt-progressed': {
				return recordProgress(state, event, context.now);
			}

			case 'attempt-ended': {
				return endAttempt(state, event.attempt, event.ending, context.now);
			}

			case 'request-sealed': {
				return stopSealed(state, event.request);
			}

			case 'request-abandoned': {
				return abandonRequest(state, event.request);
			}

			case 'tick': {
				return chain(state, current => expireRequests(current, context.now), current => requestDispatch(current));
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};
