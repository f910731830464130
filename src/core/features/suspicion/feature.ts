/**
 * Finds requests that crash upstreams by overlap: an upstream that ends holds a crash against whatever ran there.
 * A suspect runs once more, apart; it is convicted by a second crash or cleared by an answer.
 */
import {type EventOf} from '../../types/event.js';
import {
	type Context, type Feature, type State, type Step,
} from '../../types/state.js';
import {chain, only} from '../../utils/common.js';
import {
	acquit, blame, clear, confirm, depart, forgetExpired, hear, land, tell,
} from './commands.js';

function arrive(state: State, {request, attempt, ending}: EventOf<'attempt-over'>, context: Context): Step {
	const landed = land(state, attempt.id);
	switch (ending.type) {
		case 'unknown': {
			return chain(
				landed,
				current => blame(current, request, attempt, context),
				current => current === landed ? only(current) : tell(current, request.fingerprint, context),
			);
		}

		case 'done': {
			return clear(landed, request, attempt);
		}

		default: {
			return only(landed);
		}
	}
}

export const suspicionFeature: Feature = {
	name: 'suspicion',
	handle(state, event, context) {
		switch (event.type) {
			case 'attempt-began': {
				return only(depart(state, event.request, event.attempt));
			}

			case 'attempt-over': {
				return arrive(state, event, context);
			}

			case 'report-received': {
				return only(acquit(state, event.report, context));
			}

			case 'upstream-restarted': {
				return only(confirm(state, event.upstream, event.before, context));
			}

			case 'peer-message': {
				const {message} = event;
				const isNews = message.type === 'heartbeat' || message.type === 'suspected';
				return only(isNews ? hear(state, message.suspicions, context) : state);
			}

			case 'tick': {
				return only(forgetExpired(state, context));
			}

			default: {
				return only(state);
			}
		}
	},
};
