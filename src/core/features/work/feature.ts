/** Work model: measures the speeds of upstreams and the lengths of answers, and estimates the work of requests from them. */
import {type EventOf} from '../../types/event.js';
import {type Feature, type State} from '../../types/state.js';
import {withoutEffects} from '../../utils/common.js';
import {admissionOf} from '../requests/queries.js';
import {recordAnswer, recordPrefill} from './commands.js';

function handleFirstFrame(state: State, event: EventOf<'attempt-progressed'>, now: number): State {
	const admission = admissionOf(state, event.attempt);
	if (admission?.progress.type !== 'running' || admission.progress.attempt.firstFrame !== undefined) {
		return state;
	}

	const {attempt} = admission.progress;
	const prefill = event.cachedTokens === undefined
		? attempt.prefill
		: admission.request.promptTokens - event.cachedTokens;
	return recordPrefill(state, attempt, prefill, now);
}

export const workFeature: Feature = {
	name: 'work',
	handle(state, event, {now}) {
		switch (event.type) {
			case 'attempt-progressed': {
				return withoutEffects(handleFirstFrame(state, event, now));
			}

			case 'attempt-over': {
				const {request, attempt, ending} = event;
				return withoutEffects(ending.type === 'done' ? recordAnswer(state, request, attempt, ending.tokens, now) : state);
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};
