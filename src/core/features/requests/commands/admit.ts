/** Admits a request or refuses it at once. */
import {codes, type CodeName} from '../../../errors.js';
import {type Service} from '../../../types/configuration.js';
import {type Request} from '../../../types/request.js';
import {type Context, type State, type Step} from '../../../types/state.js';
import {organisation, service} from '../../configuration/queries.js';
import {fill} from '../../groups/queries.js';
import {limitedFor} from '../../limits/queries.js';
import {isServing} from '../../membership/queries.js';
import {footprint, needsGroup} from '../../routing/queries.js';
import {upstreamsFor} from '../../takeover/queries.js';
import {predict, type Prediction} from '../prediction.js';
import {lane, queueLength} from '../queries.js';
import {type Admission, type LaneName} from '../types.js';
import {refusalToSend} from './attempts.js';
import {put, refuse, usualRetryAfter} from './conclude.js';
import {enqueue} from './lanes.js';
import {spillNew} from './spill.js';

/** A queue may grow to this many times its limit while organisations that had more than their part work it off. */
const overfull = 2;

function refuseWith(state: State, request: Request, code: CodeName, reason: string, retryAfter = usualRetryAfter): Step {
	return refuse(state, request, {type: 'not-run', code: codes[code], retryAfter: Math.ceil(retryAfter)}, reason);
}

/** Each organisation may fill the part of the queue that its weight gives it among those that wait. */
function isQueueFull(state: State, request: Request, wanted: Service, name: LaneName): boolean {
	const ownWeight = organisation(state, request.organisation)?.weight ?? 1;
	let weights = ownWeight;
	let own = 0;
	for (const [id, waiting] of lane(state, request.service, name).waiting) {
		if (id === request.organisation) {
			own = waiting.ids.size;
		} else {
			weights += waiting.weight;
		}
	}

	return own >= Math.ceil(wanted.queueLimit * ownWeight / weights)
		|| queueLength(state, request.service) >= wanted.queueLimit * overfull;
}

/** Whether all engines of the service here together are too small. */
function isTooLong(state: State, request: Request): boolean {
	if (!needsGroup(state, request)) {
		return false;
	}

	let memory = 0;
	for (const each of upstreamsFor(state, request)) {
		memory += each.kind === 'engine' ? Math.floor(each.memory * fill) : 0;
	}

	return memory < footprint(state, request);
}

function admission(request: Request, prediction: Prediction, now: number): Admission {
	return {
		request,
		progress: {type: 'queued', since: now},
		lane: prediction.lane,
		cost: prediction.cost,
		attempts: 0,
		avoided: [],
		due: Math.max(request.deadline - prediction.run, now),
	};
}

const unpredicted: Prediction = {
	lane: 'short', cost: 0, run: 0, wait: 0,
};

/** What becomes of a request that the own failure domain cannot serve in time. */
function elsewhere(state: State, request: Request, prediction: Prediction | undefined, context: Context): Step {
	const spilled = spillNew(state, admission(request, prediction ?? unpredicted, context.now), context);
	if (spilled !== undefined) {
		return {...spilled, effects: [{type: 'raise', event: {type: 'request-admitted', request}}, ...spilled.effects]};
	}

	if (prediction === undefined) {
		return refuseWith(state, request, 'noUpstream', 'no upstream in reach');
	}

	const {wait, run} = prediction;
	const late = context.now + wait + run - request.deadline;
	return refuseWith(state, request, 'deadlineUnreachable', `would finish ${Math.ceil(late)} ms late`, Math.max(Math.min(late, wait), 100));
}

/**
 * @param state - Core state.
 * @param request - Request that may run here.
 * @param context - Time and random source.
 * @returns The request in its lane, or its refusal.
 */
export function admit(state: State, request: Request, context: Context): Step {
	const {now} = context;
	if (!isServing(state)) {
		return refuseWith(state, request, 'leaving', 'not serving');
	}

	const wanted = service(state, request.service);
	if (wanted === undefined) {
		return refuseWith(state, request, 'noUpstream', 'no such service');
	}

	const refusal = refusalToSend(state, request, context);
	if (refusal !== undefined) {
		return refuseWith(state, request, refusal, 'no right to run');
	}

	const limited = limitedFor(state, request, now);
	if (limited > 0) {
		return refuseWith(state, request, 'organisationLimit', 'at its limit', limited);
	}

	if (isTooLong(state, request)) {
		return refuseWith(state, request, 'promptTooLong', 'larger than all engines together');
	}

	const prediction = predict(state, request, now);
	if (prediction === undefined || now + prediction.wait + prediction.run > request.deadline) {
		return elsewhere(state, request, prediction, context);
	}

	if (isQueueFull(state, request, wanted, prediction.lane)) {
		return refuseWith(state, request, 'overloaded', 'queue full', prediction.wait + usualRetryAfter);
	}

	const admitted = admission(request, prediction, now);
	return {
		state: enqueue(put(state, admitted), admitted, false),
		effects: [
			{type: 'raise', event: {type: 'request-admitted', request}},
			{type: 'raise', event: {type: 'dispatch-wanted', service: request.service}},
		],
	};
}
