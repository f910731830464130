/** Predicts when a request would finish if it were admitted now. */
import {type Upstream} from '../../types/configuration.js';
import {type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {findOrganisation, findService} from '../configuration/queries.js';
import {maxFillRatio} from '../groups/queries.js';
import {isServedByLegacy, upstreamsFor} from '../takeover/queries.js';
import {listServingHosts} from '../membership/queries.js';
import {findCachedTokens} from '../prefixes/queries.js';
import {isUsable} from '../routing/candidates.js';
import {needsGroup} from '../routing/queries.js';
import {getLengthClass, computeSegments} from '../routing/segments.js';
import {estimateOutstanding, getView} from '../upstreams/queries.js';
import {
	estimateConservativeDecodeTime, estimateConservativePrefillTime, estimateDecodeTime, estimateWork, getPrefillRate, estimatePrefillTime,
} from '../work/queries.js';
import {getQueue} from './queries.js';
import {type OrganisationBacklog, type Queue, type QueueName} from './types.js';

/** Predictions are multiplied by these factors, so that admitted requests finish in time. */
const runTimeMargin = 1.15;
const waitTimeMargin = 1.3;

/** Predicted needs of a request, in milliseconds. */
export type Prediction = {
	readonly queue: QueueName;
	/** Engine time that the request takes away from others. */
	readonly cost: number;
	/** Time from sending to the end. */
	readonly run: number;
	/** Time until it is sent. */
	readonly wait: number;
};

function queueNameOf(state: State, request: Request): QueueName {
	return needsGroup(state, request) ? 'group' : getLengthClass(findService(state, request.service), request.promptTokens);
}

/** Returns the upstreams that serve the requests of a queue. */
function queueUpstreams(state: State, request: Request, name: QueueName, now: number): readonly Upstream[] {
	const requestedService = findService(state, request.service);
	const all = upstreamsFor(state, request);
	const isSplit = requestedService?.kind === 'model' && requestedService.policy === 'cost' && name !== 'group' && !isServedByLegacy(state, request);
	const assigned = isSplit ? computeSegments(state, requestedService, all, now)[name] : all;
	const usable = assigned.filter(each => isUsable(state, each, now));
	return usable.length === 0 ? all.filter(each => isUsable(state, each, now)) : usable;
}

/** Returns the queued work that fair queueing puts before a new request of the organisation, in milliseconds of engine time. */
function queuedBefore(state: State, queue: Queue, request: Request): number {
	const ownWeight = findOrganisation(state, request.organisation)?.weight ?? 1;
	let before = 0;
	let weights = ownWeight;
	let own = 0;
	for (const [id, backlog] of queue.waiting) {
		if (!runsBefore(state, backlog, request)) {
			continue;
		}

		before += backlog.cost;
		if (id === request.organisation) {
			own = backlog.cost;
		} else {
			weights += backlog.weight;
		}
	}

	// While an organisation's own backlog is served, the others get no more than their shares.
	return Math.min(before, own * weights / ownWeight);
}

function runsBefore(state: State, backlog: OrganisationBacklog, request: Request): boolean {
	const head = state.requests.admissions.get(backlog.ids.first() ?? '');
	return head !== undefined && head.request.priority <= request.priority;
}

/** Returns the time until the first of the upstreams has finished its outstanding prefill, in milliseconds. */
function timeUntilFree(state: State, upstreams: readonly Upstream[], name: QueueName, now: number): number {
	let earliest = Number.POSITIVE_INFINITY;
	for (const each of upstreams) {
		const work = estimateOutstanding(getView(state, each.id), now, getPrefillRate(state, each));
		earliest = Math.min(earliest, estimatePrefillTime(state, each, name === 'short' ? work.urgent : work.prefill));
	}

	return Number.isFinite(earliest) ? earliest : 0;
}

function batchSizeOf(upstream: Upstream): number {
	return upstream.kind === 'engine' ? upstream.batch : upstream.concurrent;
}

/** Returns how many engines prefill segments of the prompt in parallel. */
function countEngines(typical: Upstream, prefill: number): number {
	return typical.kind === 'engine' ? Math.max(Math.floor(prefill / (typical.memory * maxFillRatio)), 1) : 1;
}

/** Returns the number of upstreams that each serving host of the failure domain can count on, since they share them. */
function capacityPerHost(state: State, upstreams: readonly Upstream[]): number {
	return Math.max(upstreams.length, 1) / Math.max(listServingHosts(state, state.self.failureDomain).length, 1);
}

/**
 * @param request - Request that arrived.
 * @param now - Core clock, in milliseconds.
 * @returns The prediction, or undefined if no upstream here can run the request.
 */
export function predict(state: State, request: Request, now: number): Prediction | undefined {
	const name = queueNameOf(state, request);
	const upstreams = queueUpstreams(state, request, name, now);
	const typical = upstreams[0];
	if (typical === undefined) {
		return undefined;
	}

	const cached = Math.max(0, ...findCachedTokens(state, request).values());
	const {prefill, decode} = estimateWork(state, request, cached);
	const engines = name === 'group' ? countEngines(typical, prefill) : 1;
	const prefilling = estimatePrefillTime(state, typical, prefill) / engines;
	const cautiousPrefilling = estimateConservativePrefillTime(state, typical, prefill) / engines;
	const decoding = estimateDecodeTime(state, typical, decode);
	const cost = prefilling + (decoding / batchSizeOf(typical));
	const queued = queuedBefore(state, getQueue(state, request.service, name), request);
	return {
		queue: name,
		cost,
		run: (cautiousPrefilling + estimateConservativeDecodeTime(state, request, typical)) * runTimeMargin,
		wait: (timeUntilFree(state, upstreams, name, now) + (queued / capacityPerHost(state, upstreams))) * waitTimeMargin,
	};
}
