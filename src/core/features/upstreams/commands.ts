/** Changes the views of upstreams. */
import {Map as Table} from 'immutable';
import {type Load} from '../../types/peer.js';
import {type Attempt, type Request} from '../../types/request.js';
import {type Report} from '../../types/upstream.js';
import {type State} from '../../types/state.js';
import {upstream as configured} from '../configuration/queries.js';
import {prefillRate} from '../work/queries.js';
import {view, worked} from './queries.js';
import {type View, type Work} from './types.js';

const noLoads: Table<string, Load> = Table();

function put(state: State, next: View): State {
	return {...state, upstreams: {...state.upstreams, views: state.upstreams.views.set(next.upstream, next)}};
}

function rate(state: State, upstream: string): number {
	const known = configured(state, upstream);
	return known === undefined ? 0 : prefillRate(state, known);
}

/** Brings `worked` up to date, so that work may be added or taken away. */
function settle(state: State, upstream: string, now: number): View {
	const before = view(state, upstream);
	const done = worked(before, now, rate(state, upstream));
	return {...before, worked: Math.min(done, before.prefill), workedAt: now};
}

type Part = {readonly upstream: string; readonly prefill: number};

function partsOf(attempt: Attempt): readonly Part[] {
	return attempt.parts ?? [{upstream: attempt.upstream, prefill: attempt.prefill}];
}

function urgentPart(attempt: Attempt, prefill: number): number {
	return attempt.length === 'short' ? prefill : 0;
}

function withoutPrefill(before: View, attempt: Attempt, prefill: number): View {
	const waiting = before.waiting - 1;
	return {
		...before,
		waiting,
		prefill: waiting === 0 ? 0 : before.prefill - prefill,
		urgent: waiting === 0 ? 0 : before.urgent - urgentPart(attempt, prefill),
		worked: waiting === 0 ? 0 : Math.max(before.worked - prefill, 0),
	};
}

/**
 * @param state - Core state.
 * @param request - Request that is sent.
 * @param attempt - Attempt that begins.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function beginWork(state: State, request: Request, attempt: Attempt, now: number): State {
	let next = state;
	for (const {upstream, prefill} of partsOf(attempt)) {
		const before = settle(next, upstream, now);
		const decodes = upstream === attempt.upstream;
		next = put(next, {
			...before,
			requests: before.requests + 1,
			waiting: before.waiting + 1,
			prefill: before.prefill + prefill,
			urgent: before.urgent + urgentPart(attempt, prefill),
			decode: before.decode + (decodes ? attempt.decode : 0),
			footprint: before.footprint + footprint(request, attempt, upstream),
		});
	}

	return next;
}

function footprint(request: Request, attempt: Attempt, upstream: string): number {
	const part = attempt.parts?.find(each => each.upstream === upstream);
	const output = upstream === attempt.upstream ? attempt.decode : 0;
	return (part?.prefill ?? request.promptTokens) + output;
}

/**
 * @param state - Core state.
 * @param attempt - Attempt, as it was before its first frame.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function finishPrefill(state: State, attempt: Attempt, now: number): State {
	let next = state;
	for (const {upstream, prefill} of partsOf(attempt)) {
		next = put(next, withoutPrefill(settle(next, upstream, now), attempt, prefill));
	}

	return next;
}

/**
 * @param state - Core state.
 * @param request - Request.
 * @param attempt - Attempt that is over.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function endWork(state: State, request: Request, attempt: Attempt, now: number): State {
	let next = attempt.firstFrame === undefined ? finishPrefill(state, attempt, now) : state;
	for (const {upstream} of partsOf(attempt)) {
		const before = view(next, upstream);
		const decodes = upstream === attempt.upstream;
		next = put(next, {
			...before,
			requests: before.requests - 1,
			decode: before.decode - (decodes ? attempt.decode : 0),
			footprint: before.footprint - footprint(request, attempt, upstream),
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
export function takeReport(state: State, report: Report, now: number): State {
	const before = settle(state, report.upstream, now);
	const unseen: Work = {
		requests: Math.max(report.running + report.waiting - before.requests - before.peers.requests, 0),
		prefill: Math.max(report.queuedPrefill - before.prefill - before.peers.prefill, 0),
		decode: 0,
		urgent: 0,
	};
	return put(state, {
		...before, report, reportedAt: now - report.age, unseen, reachable: true,
	});
}

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @returns The next state.
 */
export function markUnreachable(state: State, upstream: string): State {
	return put(state, {...view(state, upstream), reachable: false});
}

function addPeer(state: State, load: Load, sign: 1 | -1, now: number): State {
	const before = settle(state, load.upstream, now);
	return put(state, {
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
 * Counts the loads that changed since the last time; a peer that is not heard of counts nothing.
 *
 * @param state - Core state.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function countPeers(state: State, now: number): State {
	const {peers} = state.membership;
	const {counted} = state.upstreams;
	const hosts = new Set([...counted.keys(), ...peers.keys()]);
	let next = state;
	for (const host of hosts) {
		const peer = peers.get(host);
		const before = counted.get(host) ?? noLoads;
		const after = peer?.status === 'live' ? peer.loads : noLoads;
		if (before !== after) {
			next = recount(next, host, before, after, now);
		}
	}

	return next;
}

function isSameLoad(a: Load | undefined, b: Load): boolean {
	return a === b || (a?.requests === b.requests && a.prefill === b.prefill && a.decode === b.decode && a.urgent === b.urgent);
}

function recount(state: State, host: string, before: Table<string, Load>, after: Table<string, Load>, now: number): State {
	let next = state;
	for (const load of before.values()) {
		next = isSameLoad(after.get(load.upstream), load) ? next : addPeer(next, load, -1, now);
	}

	for (const load of after.values()) {
		next = isSameLoad(before.get(load.upstream), load) ? next : addPeer(next, load, 1, now);
	}

	const {counted} = next.upstreams;
	const changed = after.isEmpty() ? counted.delete(host) : counted.set(host, after);
	return {...next, upstreams: {...next.upstreams, counted: changed}};
}
