/** Keeps a view of each upstream from its reports and this host's own work. */
import {type Attempt} from '../../types/request.js';
import {type Report} from '../../types/upstream.js';
import {type Feature, type State, type Step} from '../../types/state.js';
import {only} from '../../utils/common.js';
import {view} from './queries.js';
import {type View} from './types.js';

function put(state: State, next: View): State {
	return {...state, upstreams: {...state.upstreams, views: state.upstreams.views.set(next.upstream, next)}};
}

function report(state: State, received: Report, now: number): Step {
	const before = view(state, received.upstream);
	const known = before.report?.incarnation;
	const next = put(state, {
		...before, report: received, reportedAt: now - received.age, reachable: true,
	});
	if (known === undefined || known === received.incarnation) {
		return only(next);
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

function add(state: State, attempt: Attempt, sign: 1 | -1): Step {
	const before = view(state, attempt.upstream);
	return only(put(state, {
		...before,
		requests: before.requests + sign,
		prefill: before.prefill + (sign * attempt.prefill),
		decode: before.decode + (sign * attempt.decode),
	}));
}

export const upstreamsFeature: Feature = {
	name: 'upstreams',
	handle(state, event, {now}) {
		switch (event.type) {
			case 'report-received': {
				return report(state, event.report, now);
			}

			case 'upstream-unreachable': {
				return only(put(state, {...view(state, event.upstream), reachable: false}));
			}

			case 'attempt-began': {
				return add(state, event.attempt, 1);
			}

			case 'attempt-over': {
				return add(state, event.attempt, -1);
			}

			default: {
				return only(state);
			}
		}
	},
};
