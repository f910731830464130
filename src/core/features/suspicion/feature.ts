/**
 * Detects poison requests, which crash the upstreams that run them. Each crash of an upstream is held against all requests that
 * ran there, which become suspects. A suspect may run again, at few upstreams and apart from other suspects: a second crash
 * convicts it, so that every host refuses it; a full answer clears it. A crash that proves not to have happened is acquitted.
 */
import {type EventOf} from '../../types/event.js';
import {
	type StepContext, type Feature, type State, type StepResult,
} from '../../types/state.js';
import {chain, withoutEffects} from '../../utils/common.js';
import {
	acquit, recordCrash, clearSuspicion, confirmCrash, addRunningAttempt, removeExpired, mergePeerSuspicions, removeRunningAttempt, broadcastSuspicion,
} from './commands.js';

function handleAttemptOver(state: State, {request, attempt, ending}: EventOf<'attempt-over'>, context: StepContext): StepResult {
	const next = removeRunningAttempt(state, attempt.id);
	switch (ending.type) {
		case 'unknown': {
			return chain(
				next,
				current => recordCrash(current, request, attempt, context),
				current => current === next ? withoutEffects(current) : broadcastSuspicion(current, request.fingerprint, context),
			);
		}

		case 'done': {
			return clearSuspicion(next, request, attempt);
		}

		default: {
			return withoutEffects(next);
		}
	}
}

export const suspicionFeature: Feature = {
	name: 'suspicion',
	handle(state, event, context) {
		switch (event.type) {
			case 'attempt-began': {
				return withoutEffects(addRunningAttempt(state, event.request, event.attempt));
			}

			case 'attempt-over': {
				return handleAttemptOver(state, event, context);
			}

			case 'report-received': {
				return withoutEffects(acquit(state, event.report, context));
			}

			case 'upstream-restarted': {
				return withoutEffects(confirmCrash(state, event.upstream, event.before, context));
			}

			case 'peer-message': {
				const {message} = event;
				const hasSuspicions = message.type === 'heartbeat' || message.type === 'suspected';
				return withoutEffects(hasSuspicions ? mergePeerSuspicions(state, message.suspicions, context) : state);
			}

			case 'tick': {
				return withoutEffects(removeExpired(state, context));
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};
