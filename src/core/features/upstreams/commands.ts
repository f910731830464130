/** Updates the views of upstreams. */
import {Map as Table} from 'immutable';
import {type Load} from '../../types/peer.js';
import {type Attempt, type Request} from '../../types/request.js';
import {type LoadReport} from '../../types/upstream.js';
import {type State} from '../../types/state.js';
import {findUpstream as configured} from '../configuration/queries.js';
import {getPrefillRate} from '../work/queries.js';
import {getView, estimatePrefilled} from './queries.js';
import {type UpstreamView, type Work} from './types.js';

const noLoads: Table<string, Load> = Table();

function setView(state: State, next: UpstreamView): State {
	return {...state, upstreams: {...state.upstreams, views: state.upstreams.views.set(next.upstream, next)}};
}

function findPrefillRate(state: State, upstream: string): number {
	const found = configured(state, upstream);
	return found === undefined ? 0 : getPrefillRate(state, found);
}

/** Brings `prefilled` up to date, which must be done before work is added or removed. */
function updatePrefilled(state: State, upstream: string, now: number): UpstreamView {
	const before = getView(state, upstream);
	const done = estimatePrefilled(before, now, findPrefillRate(state, upstream));
	return {...before, prefilled: Math.min(done, before.prefill), prefilledAsOf: now};
}

type PrefillPart = {readonly upstream: string; readonly prefill: number};

function getPrefillParts(attempt: Attempt): readonly PrefillPart[] {
	return attempt.prefillShares ?? [{upstream: attempt.upstream, prefill: attempt.prefill}];
}

function getUrgentPrefill(attempt: Attempt, prefill: number): number {
	return attempt.length === 'short' ? prefill : 0;
}

function subtractPrefill(before: UpstreamView, attempt: Attempt, prefill: number): UpstreamView {
	const waiting = before.waiting - 1;
	return {
		...before,
		waiting,
		prefill: waiting === 0 ? 0 : before.prefill - prefill,
		urgent: waiting === 0 ? 0 : before.urgent - getUrgentPrefill(attempt, prefill),
		prefilled: waiting === 0 ? 0 : Math.max(before.prefilled - prefill, 0),
	};
}

/**
 * @param state - Core state.
 * @param request - Request that is sent.
 * @param attempt - Attempt that starts.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function beginWork(state: State, request: Request, attempt: Attempt, now: number): State {
	let next = state;
	for (const {upstream, prefill} of getPrefillParts(attempt)) {
		const before = updatePrefilled(next, upstream, now);
		const isDecoder = upstream === attempt.upstream;
		next = setView(next, {
			...before,
			requests: before.requests + 1,
			waiting: before.waiting + 1,
			prefill: before.prefill + prefill,
			urgent: before.urgent + getUrgentPrefill(attempt, prefill),
			decode: before.decode + (isDecoder ? attempt.decode : 0),
			footprint: before.footprint + getFootprint(request, attempt, upstream),
		});
	}

	return next;
}

function getFootprint(request: Request, attempt: Attempt, upstream: string): number {
	const part = attempt.prefillShares?.find(each => each.upstream === upstream);
	const output = upstream === attempt.upstream ? attempt.decode : 0;
	return (part?.prefill ?? request.promptTokens) + output;
}

/**
 * @param state - Core state.
 * @param attempt - Attempt in its state before the first frame.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function finishPrefill(state: State, attempt: Attempt, now: number): State {
	let next = state;
	for (const {upstream, prefill} of getPrefillParts(attempt)) {
		next = setView(next, subtractPrefill(updatePrefilled(next, upstream, now), attempt, prefill));
	}

	return next;
}

/**
 * @param state - Core state.
 * @param request - Request.
 * @param attempt - Attempt that has ended.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function endWork(state: State, request: Request, attempt: Attempt, now: number): State {
	let next = attempt.firstFrame === undefined ? finishPrefill(state, attempt, now) : state;
	for (const {upstream} of getPrefillParts(attempt)) {
		const before = getView(next, upstream);
		const isDecoder = upstream === attempt.upstream;
		next = setView(next, {
			...before,
			requests: before.requests - 1,
			decode: before.decode - (isDecoder ? attempt.decode : 0),
			footprint: before.footprint - getFootprint(request, attempt, upstream),
		});
	}

	return next;
}

/**
 * @param state - Core state.
 * @param report - Report of an engine.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function applyReport(state: State, report: LoadReport, now: number): State {
	const before = updatePrefilled(state, report.upstream, now);
	const unattributed: Work = {
		requests: Math.max(report.running + report.waiting - before.requests - before.peers.requests, 0),
		prefill: Math.max(report.queuedPrefill - before.prefill - before.peers.prefill, 0),
		decode: 0,
		urgent: 0,
	};
	return setView(state, {
		...before, report, reportedAt: now - report.age, unattributed, reachable: true,
	});
}

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @returns The next state.
 */
export function markUnreachable(state: State, upstream: string): State {
	return setView(state, {...getView(state, upstream), reachable: false});
}

function adjustPeerLoad(state: State, load: Load, sign: 1 | -1, now: number): State {
	const before = updatePrefilled(state, load.upstream, now);
	return setView(state, {
		...before,
		peers: {
			requests: before.peers.requests + (sign * load.requests),
			prefill: before.peers.prefill + (sign * load.prefill),
			decode: before.peers.decode + (sign * load.decode),
			urgent: before.peers.urgent + (sign * (load.urgent ?? 0)),
		},
	});
}

/**
 * Applies the loads that changed since the last call to the views. The loads of a peer that is not live count as none.
 *
 * @param state - Core state.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function updatePeerLoads(state: State, now: number): State {
	const {peers} = state.membership;
	const {countedLoads} = state.upstreams;
	const hosts = new Set([...countedLoads.keys(), ...peers.keys()]);
	let next = state;
	for (const host of hosts) {
		const peer = peers.get(host);
		const before = countedLoads.get(host) ?? noLoads;
		const after = peer?.status === 'live' ? peer.loads : noLoads;
		if (before !== after) {
			next = replacePeerLoads(next, host, before, after, now);
		}
	}

	return next;
}

function isSameLoad(a: Load | undefined, b: Load): boolean {
	return a === b || (a?.requests === b.requests && a.prefill === b.prefill && a.decode === b.decode && a.urgent === b.urgent);
}

function replacePeerLoads(state: State, host: string, before: Table<string, Load>, after: Table<string, Load>, now: number): State {
	let next = state;
	for (const load of before.values()) {
		next = isSameLoad(after.get(load.upstream), load) ? next : adjustPeerLoad(next, load, -1, now);
	}

	for (const load of after.values()) {
		next = isSameLoad(before.get(load.upstream), load) ? next : adjustPeerLoad(next, load, 1, now);
	}

	const {countedLoads} = next.upstreams;
	const updated = after.isEmpty() ? countedLoads.delete(host) : countedLoads.set(host, after);
	return {...next, upstreams: {...next.upstreams, countedLoads: updated}};
}
