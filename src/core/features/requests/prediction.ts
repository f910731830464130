/** Predicts when a request would finish if it were admitted now. */
import {type Upstream} from '../../types/configuration.js';
import {type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {organisation, service} from '../configuration/queries.js';
import {fill} from '../groups/queries.js';
import {isLegacy, upstreamsFor} from '../takeover/queries.js';
import {servingHosts} from '../membership/queries.js';
import {cachedTokens} from '../prefixes/queries.js';
import {isUsable} from '../routing/candidates.js';
import {needsGroup} from '../routing/queries.js';
import {classOf, segments} from '../routing/segments.js';
import {outstanding, view} from '../upstreams/queries.js';
import {
	cautiousDecodeTime, cautiousPrefillTime, decodeTime, estimate, prefillRate, prefillTime,
} from '../work/queries.js';
import {lane} from './queries.js';
import {type Lane, type LaneName, type Waiting} from './types.js';

/** Predictions are stretched by these, so that a request that is admitted also finishes in time. */
const runCaution = 1.15;
const waitCaution = 1.3;

/** What a request is expected to need, in milliseconds. */
export type Prediction = {
	readonly lane: LaneName;
	/** Engine time that the request takes from others. */
	readonly cost: number;
	/** From sending to the end. */
	readonly run: number;
	/** Until it is sent. */
	readonly wait: number;
};

/** @returns The lane of a request. */
function laneOf(state: State, request: Request): LaneName {
	return needsGroup(state, request) ? 'group' : classOf(service(state, request.service), request.promptTokens);
}

/** Upstreams that the lane's requests are sent to. */
function laneUpstreams(state: State, request: Request, name: LaneName, now: number): readonly Upstream[] {
	const wanted = service(state, request.service);
	const all = upstreamsFor(state, request);
	const isSplit = wanted?.kind === 'model' && wanted.policy === 'cost' && name !== 'group' && !isLegacy(state, request);
	const kept = isSplit ? segments(state, wanted, all, now)[name] : all;
	const open = kept.filter(each => isUsable(state, each, now));
	return open.length === 0 ? all.filter(each => isUsable(state, each, now)) : open;
}

/** Engine time that waits before a new request of the organisation, under fair queueing, in milliseconds. */
function backlog(state: State, from: Lane, request: Request): number {
	const ownWeight = organisation(state, request.organisation)?.weight ?? 1;
	let before = 0;
	let weights = ownWeight;
	let own = 0;
	for (const [id, waiting] of from.waiting) {
		if (!runsBefore(state, waiting, request)) {
			continue;
		}

		before += waiting.cost;
		if (id === request.organisation) {
			own = waiting.cost;
		} else {
			weights += waiting.weight;
		}
	}

	// By the time an organisation's own backlog is done, each other one has had no more than its share.
	return Math.min(before, own * weights / ownWeight);
}

function runsBefore(state: State, waiting: Waiting, request: Request): boolean {
	const head = state.requests.admissions.get(waiting.ids.first() ?? '');
	return head !== undefined && head.request.priority <= request.priority;
}

/** Time until the first of them has worked off what it has, in milliseconds. */
function firstFree(state: State, upstreams: readonly Upstream[], name: LaneName, now: number): number {
	let least = Number.POSITIVE_INFINITY;
	for (const each of upstreams) {
		const work = outstanding(view(state, each.id), now, prefillRate(state, each));
		least = Math.min(least, prefillTime(state, each, name === 'short' ? work.urgent : work.prefill));
	}

	return Number.isFinite(least) ? least : 0;
}

function batchOf(upstream: Upstream): number {
	return upstream.kind === 'engine' ? upstream.batch : upstream.concurrent;
}

/** Engines that work on the segments of a prompt at the same time. */
function enginesFor(typical: Upstream, prefill: number): number {
	return typical.kind === 'engine' ? Math.max(Math.floor(prefill / (typical.memory * fill)), 1) : 1;
}

/** Share of the lane's upstreams that this host may count on: peers of the domain use them as well. */
function capacity(state: State, upstreams: readonly Upstream[]): number {
	return Math.max(upstreams.length, 1) / Math.max(servingHosts(state, state.self.failureDomain).length, 1);
}

/**
 * @param state - Core state.
 * @param request - Request that arrived.
 * @param now - Time in milliseconds.
 * @returns What it needs, or undefined if nothing here can run it.
 */
export function predict(state: State, request: Request, now: number): Prediction | undefined {
	const name = laneOf(state, request);
	const upstreams = laneUpstreams(state, request, name, now);
	const typical = upstreams[0];
	if (typical === undefined) {
		return undefined;
	}

	const cached = Math.max(0, ...cachedTokens(state, request).values());
	const {prefill, decode} = estimate(state, request, cached);
	const engines = name === 'group' ? enginesFor(typical, prefill) : 1;
	const prefilling = prefillTime(state, typical, prefill) / engines;
	const longest = cautiousPrefillTime(state, typical, prefill) / engines;
	const decoding = decodeTime(state, typical, decode);
	const cost = prefilling + (decoding / batchOf(typical));
	const queued = backlog(state, lane(state, request.service, name), request);
	return {
		lane: name,
		cost,
		run: (longest + cautiousDecodeTime(state, request, typical)) * runCaution,
		wait: (firstFree(state, upstreams, name, now) + (queued / capacity(state, upstreams))) * waitCaution,
	};
}
