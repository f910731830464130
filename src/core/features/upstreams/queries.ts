/** Reads the views of upstreams. */
import {type State} from '../../types/state.js';
import {noWork, type View, type Work} from './types.js';

/** A report older than this says nothing of load any more, in milliseconds. */
const reportLife = 5000;

/** Overdue prefill that is taken to remain, in tokens: a slow engine is not given more on a guess. */
const leastRemaining = 1536;

/**
 * @param state - Core state.
 * @param upstream - Upstream.
 * @returns The view, an empty one if nothing is known.
 */
export function view(state: State, upstream: string): View {
	return state.upstreams.views.get(upstream) ?? {
		upstream,
		requests: 0,
		waiting: 0,
		prefill: 0,
		worked: 0,
		workedAt: 0,
		urgent: 0,
		decode: 0,
		footprint: 0,
		peers: noWork,
		unseen: noWork,
		reachable: true,
	};
}

/**
 * @param known - View of an upstream.
 * @param now - Time in milliseconds.
 * @param rate - Prefill tokens per second there.
 * @returns Prefill tokens that should be done by now of own attempts still waiting.
 */
export function worked(known: View, now: number, rate: number): number {
	if (known.waiting === 0) {
		return 0;
	}

	const all = known.prefill + known.peers.prefill + known.unseen.prefill;
	const share = all === 0 ? 1 : known.prefill / all;
	return known.worked + (Math.max(now - known.workedAt, 0) * rate * share / 1000);
}

function remaining(known: View, now: number, rate: number): number {
	return Math.max(known.prefill - worked(known, now, rate), Math.min(known.prefill, leastRemaining));
}

function unseenPrefill(known: View, now: number, rate: number): number {
	if (known.reportedAt === undefined || now - known.reportedAt > reportLife) {
		return 0;
	}

	return Math.max(known.unseen.prefill - ((now - known.reportedAt) * rate / 1000), 0);
}

/**
 * Everyone's work at an upstream. The report only adds what neither this host nor its peers account for, so nothing
 * counts twice, and it ages by the upstream's speed.
 *
 * @param known - View of the upstream.
 * @param now - Time in milliseconds.
 * @param rate - Prefill tokens per second there.
 * @returns Requests in flight, prefill and decode tokens that remain.
 */
export function outstanding(known: View, now: number, rate: number): Work {
	const fresh = known.reportedAt !== undefined && now - known.reportedAt <= reportLife;
	return {
		requests: known.requests + known.peers.requests + (fresh ? known.unseen.requests : 0),
		prefill: remaining(known, now, rate) + known.peers.prefill + unseenPrefill(known, now, rate),
		decode: known.decode + known.peers.decode,
		urgent: known.urgent + known.peers.urgent,
	};
}
