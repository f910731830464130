/** Queries on the views of upstreams. */
import {type State} from '../../types/state.js';
import {noWork, type UpstreamView, type Work} from './types.js';

/** The load in older reports is ignored. */
const maxReportAgeMs = 5000;

/** Prefill assumed to remain when all of it should be done: an engine slower than estimated is not sent more. */
const minRemainingTokens = 1536;

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @returns The view; an empty one if nothing is known of the upstream.
 */
export function getView(state: State, upstream: string): UpstreamView {
	return state.upstreams.views.get(upstream) ?? {
		upstream,
		requests: 0,
		waiting: 0,
		prefill: 0,
		prefilled: 0,
		prefilledAsOf: 0,
		urgent: 0,
		decode: 0,
		footprint: 0,
		peers: noWork,
		unattributed: noWork,
		reachable: true,
	};
}

/**
 * @param view - View of an upstream.
 * @param now - Time in milliseconds.
 * @param rate - Prefill tokens per second there.
 * @returns Prefill tokens that should be done by now, of this host's attempts that wait for their first frame.
 */
export function estimatePrefilled(view: UpstreamView, now: number, rate: number): number {
	if (view.waiting === 0) {
		return 0;
	}

	const all = view.prefill + view.peers.prefill + view.unattributed.prefill;
	const share = all === 0 ? 1 : view.prefill / all;
	return view.prefilled + (Math.max(now - view.prefilledAsOf, 0) * rate * share / 1000);
}

function estimateRemainingPrefill(view: UpstreamView, now: number, rate: number): number {
	return Math.max(view.prefill - estimatePrefilled(view, now, rate), Math.min(view.prefill, minRemainingTokens));
}

function estimateUnattributedPrefill(view: UpstreamView, now: number, rate: number): number {
	if (view.reportedAt === undefined || now - view.reportedAt > maxReportAgeMs) {
		return 0;
	}

	return Math.max(view.unattributed.prefill - ((now - view.reportedAt) * rate / 1000), 0);
}

/**
 * Estimates the work of all hosts at an upstream. The last report adds only work that neither this host nor its peers account for,
 * so nothing counts twice; that part decreases at the upstream's prefill rate.
 *
 * @param view - View of the upstream.
 * @param now - Time in milliseconds.
 * @param rate - Prefill tokens per second there.
 * @returns Requests in flight, and the prefill and decode tokens that remain.
 */
export function estimateOutstanding(view: UpstreamView, now: number, rate: number): Work {
	const isFresh = view.reportedAt !== undefined && now - view.reportedAt <= maxReportAgeMs;
	return {
		requests: view.requests + view.peers.requests + (isFresh ? view.unattributed.requests : 0),
		prefill: estimateRemainingPrefill(view, now, rate) + view.peers.prefill + estimateUnattributedPrefill(view, now, rate),
		decode: view.decode + view.peers.decode,
		urgent: view.urgent + view.peers.urgent,
	};
}
