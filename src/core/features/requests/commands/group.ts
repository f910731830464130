/** Sends requests that several engines hold together, or returns them to their queue. */
import {type EventOf} from '../../../types/event.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {withoutEffects} from '../../../utils/common.js';
import {findUpstream as configured} from '../../configuration/queries.js';
import {estimateOutstanding, getView} from '../../upstreams/queries.js';
import {getPrefillRate} from '../../work/queries.js';
import {send} from './attempts.js';
import {putAdmission} from './conclude.js';
import {enqueue} from './queues.js';

/**
 * Sends a request to a group of engines; the last one decodes.
 *
 * @param event - Request and the engines that hold memory for it.
 * @returns The next state and the effects.
 */
export function sendToGroup(state: State, event: EventOf<'group-held'>, context: StepContext): StepResult {
	const admission = state.requests.admissions.get(event.request.id);
	const last = event.segments.at(-1);
	const upstream = last === undefined ? undefined : configured(state, last.upstream);
	if (admission?.progress.type !== 'holding' || upstream === undefined) {
		return withoutEffects(state);
	}

	const work = estimateOutstanding(getView(state, upstream.id), context.now, getPrefillRate(state, upstream));
	return send(state, admission, {
		upstream,
		cached: 0,
		prefillAhead: Math.round(work.prefill),
		candidates: event.segments.map(each => ({upstream: each.upstream, score: 0})),
		reason: `group of ${event.segments.length} engines`,
	}, context, event.segments);
}

/**
 * @param id - Request whose group could not be formed.
 * @returns The next state, with the request at the front of its organisation's backlog.
 */
export function returnToQueue(state: State, id: string): State {
	const admission = state.requests.admissions.get(id);
	if (admission?.progress.type !== 'holding') {
		return state;
	}

	const requeued = {...admission, progress: {type: 'queued', since: admission.progress.since}} as const;
	return enqueue(putAdmission(state, requeued), requeued, true);
}
