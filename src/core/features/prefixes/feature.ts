/** Prefix index: maintained from the requests that this host sends and the cache events that engines publish. */
import {type EventOf} from '../../types/event.js';
import {type Feature, type State} from '../../types/state.js';
import {withoutEffects} from '../../utils/common.js';
import {applyCacheChange, clearUpstream, recordRequest} from './commands.js';

function applyCacheChanges(state: State, {upstream, changes}: EventOf<'cache-changed'>): State {
	let next = state;
	for (const each of changes) {
		next = applyCacheChange(next, upstream, each);
	}

	return next;
}

export const prefixesFeature: Feature = {
	name: 'prefixes',
	handle(state, event) {
		switch (event.type) {
			case 'attempt-began': {
				const {request, attempt} = event;
				return withoutEffects(attempt.prefillShares === undefined ? recordRequest(state, request, attempt.upstream) : state);
			}

			case 'cache-changed': {
				return withoutEffects(applyCacheChanges(state, event));
			}

			case 'upstream-restarted': {
				return withoutEffects(clearUpstream(state, event.upstream));
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};
