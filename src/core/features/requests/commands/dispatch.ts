/** Sends what waits as soon as an upstream has room for it. */
import {type Service} from '../../../types/configuration.js';
import {type Context, type State, type Step} from '../../../types/state.js';
import {only} from '../../../utils/common.js';
import {service} from '../../configuration/queries.js';
import {mayFormGroup} from '../../groups/queries.js';
import {route} from '../../routing/queries.js';
import {lane, nextOf} from '../queries.js';
import {
	laneKey, laneNames, type Admission, type LaneName,
} from '../types.js';
import {send} from './attempts.js';
import {put} from './conclude.js';
import {take} from './lanes.js';
import {spill} from './spill.js';

/** Part of the service's usual deadline that, waited, is worth one priority. */
const ageingPart = 0.05;

/** Part of the time it can wait after which a request may go to another failure domain. */
const patience = 0.5;

function isImpatient(admission: Admission, now: number): boolean {
	if (admission.progress.type !== 'queued') {
		return false;
	}

	const {since} = admission.progress;
	return now - since > (admission.due - since) * patience;
}

function sendOne(state: State, wanted: Service, admission: Admission, context: Context): Step | undefined {
	const found = route(state, {
		request: admission.request, wanted, failureDomain: state.self.failureDomain, avoided: admission.avoided,
	}, context);
	if (found.type === 'send') {
		return send(state, admission, found.choice, context);
	}

	return found.type === 'none' || isImpatient(admission, context.now)
		? spill(state, admission, context)
		: undefined;
}

function formGroup(state: State, admission: Admission, {now}: Context): Step | undefined {
	const {request} = admission;
	return mayFormGroup(state, request.service, now)
		? {
			state: put(take(state, admission), {...admission, progress: {type: 'holding', since: now}}),
			effects: [{type: 'raise', event: {type: 'group-wanted', request}}],
		}
		: undefined;
}

function dispatchLane(state: State, wanted: Service, name: LaneName, context: Context): Step | undefined {
	if (!state.requests.lanes.has(laneKey(wanted.id, name))) {
		return undefined;
	}

	const next = nextOf(state, lane(state, wanted.id, name), context.now, wanted.deadline.default * ageingPart);
	if (next === undefined) {
		return undefined;
	}

	return name === 'group' ? formGroup(state, next, context) : sendOne(state, wanted, next, context);
}

/**
 * Sends one request; each sending asks for the next once everyone's views count it.
 *
 * @param state - Core state.
 * @param id - Service.
 * @param context - Time and random source.
 * @returns The next state and the effects.
 */
export function dispatch(state: State, id: string, context: Context): Step {
	const wanted = service(state, id);
	if (wanted === undefined) {
		return only(state);
	}

	for (const name of laneNames) {
		const sent = dispatchLane(state, wanted, name, context);
		if (sent !== undefined) {
			return sent;
		}
	}

	return only(state);
}

/**
 * @param state - Core state.
 * @returns A wish to dispatch for each service that has something waiting.
 */
export function wakeQueues(state: State): Step {
	const services = new Set([...state.requests.lanes.keys()].map(key => key.slice(0, key.indexOf('/'))));
	return {
		state,
		effects: [...services].map(id => ({type: 'raise', event: {type: 'dispatch-wanted', service: id}}) as const),
	};
}
