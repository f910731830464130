/** Maintains a view of each upstream from its reports, this host's own attempts and the loads that peers publish. */
import {type LoadReport} from '../../types/upstream.js';
import {type Feature, type State, type StepResult} from '../../types/state.js';
import {withoutEffects} from '../../utils/common.js';
import {admissionOf} from '../requests/queries.js';
import {
	beginWork, updatePeerLoads, endWork, finishPrefill, markUnreachable, applyReport,
} from './commands.js';
import {getView} from './queries.js';

function handleReport(state: State, received: LoadReport, now: number): StepResult {
	const known = getView(state, received.upstream).report?.incarnation;
	const next = applyReport(state, received, now);
	if (known === undefined || known === received.incarnation) {
		return withoutEffects(next);
	}

	return {
		state: next,
		effects: [{
			type: 'raise', event: {
				type: 'upstream-restarted', upstream: received.upstream, before: known, incarnation: received.incarnation,
			},
		}],
	};
}

/** Runs before the requests feature sets the time of the first frame, so an attempt without one has just received it. */
function handleProgress(state: State, id: string, now: number): State {
	const progress = admissionOf(state, id)?.progress;
	return progress?.type === 'running' && progress.attempt.firstFrame === undefined
		? finishPrefill(state, progress.attempt, now)
		: state;
}

export const upstreamsFeature: Feature = {
	name: 'upstreams',
	handle(state, event, {now}) {
		switch (event.type) {
			case 'report-received': {
				return handleReport(state, event.report, now);
			}

			case 'upstream-unreachable': {
				return withoutEffects(markUnreachable(state, event.upstream));
			}

			case 'attempt-began': {
				return withoutEffects(beginWork(state, event.request, event.attempt, now));
			}

			case 'attempt-progressed': {
				return withoutEffects(handleProgress(state, event.attempt, now));
			}

			case 'attempt-over': {
				return withoutEffects(endWork(state, event.request, event.attempt, now));
			}

			case 'tick': {
				return withoutEffects(updatePeerLoads(state, now));
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};
