/** Queries which requests are suspect or convicted, and where suspects may run. */
import {type Upstream} from '../../types/configuration.js';
import {type Suspicion} from '../../types/peer.js';
import {type Request} from '../../types/request.js';
import {type StepContext, type State} from '../../types/state.js';
import {selectTopRanked, hashText} from '../../utils/hashes.js';
import {upstreamsFor} from '../takeover/queries.js';
import {convictionThreshold, suspectUpstreamLimit} from './types.js';

/** Suspicions that are published to peers at most; one heartbeat carries a few of them in rotation. */
const maxPublishedSuspicions = 64;

/**
 * @param state - Core state.
 * @param fingerprint - Fingerprint of a request.
 * @param context - Time and random source.
 * @returns Ids of the distinct crashes held against it, by this host or by peers.
 */
export function getCrashIds(state: State, fingerprint: string, {wall}: StepContext): ReadonlySet<string> {
	const seen = state.suspicion.crashes.get(fingerprint) ?? [];
	const peerSuspicion = state.suspicion.peerSuspicions.get(fingerprint);
	return new Set([
		...seen.filter(each => each.expires > wall).map(each => each.id),
		...(peerSuspicion !== undefined && peerSuspicion.expires > wall ? peerSuspicion.crashes : []),
	]);
}

/**
 * @param state - Core state.
 * @param fingerprint - Fingerprint of a request.
 * @param context - Time and random source.
 * @returns Whether every host must refuse the request.
 */
export function isConvicted(state: State, fingerprint: string, context: StepContext): boolean {
	return getCrashIds(state, fingerprint, context).size >= convictionThreshold;
}

/**
 * @param state - Core state.
 * @param fingerprint - Fingerprint of a request.
 * @param context - Time and random source.
 * @returns Whether an upstream crashed, or seemed to, while the request ran there.
 */
export function isSuspect(state: State, fingerprint: string, context: StepContext): boolean {
	return getCrashIds(state, fingerprint, context).size > 0;
}

/**
 * Every host selects the same few upstreams, so that a suspect that is repeated through another host endangers no others.
 *
 * @param state - Core state.
 * @param request - Suspected request.
 * @param context - Time and random source.
 * @returns Upstreams it may run at, best first; those that crashed with it only if there are no others.
 */
export function listSuspectUpstreams(state: State, request: Request, context: StepContext): readonly Upstream[] {
	const crashed = new Set([...getCrashIds(state, request.fingerprint, context)].map(id => id.split('/')[0]));
	const all = upstreamsFor(state, request);
	const notCrashed = all.filter(each => !crashed.has(each.id));
	const members = (notCrashed.length > 0 ? notCrashed : all).map(upstream => ({upstream, hash: hashText(upstream.id)}));
	return selectTopRanked(hashText(request.fingerprint), members, suspectUpstreamLimit).map(each => each.upstream);
}

/**
 * Checks a request before it is sent. A suspect runs only at its few upstreams, and while it runs there, no other request is sent
 * to that upstream.
 *
 * @param state - Core state.
 * @param request - Request to send.
 * @param upstream - Upstream considered for it.
 * @param context - Time and random source.
 * @returns Whether the request may run there now.
 */
export function canRunAt(state: State, request: Request, upstream: string, context: StepContext): boolean {
	const {runningAttempts, crashes, peerSuspicions} = state.suspicion;
	if (crashes.isEmpty() && peerSuspicions.isEmpty()) {
		return true;
	}

	const isSuspectRunning = runningAttempts.some(running => running.upstream === upstream
		&& running.fingerprint !== request.fingerprint
		&& isSuspect(state, running.fingerprint, context));
	if (isSuspectRunning) {
		return false;
	}

	return !isSuspect(state, request.fingerprint, context)
		|| listSuspectUpstreams(state, request, context).some(each => each.id === upstream);
}

function getExpiry(state: State, fingerprint: string): number {
	const seen = state.suspicion.crashes.get(fingerprint) ?? [];
	return Math.max(state.suspicion.peerSuspicions.get(fingerprint)?.expires ?? 0, ...seen.map(each => each.expires));
}

/**
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns Suspicions to publish to peers, those with the most crashes first.
 */
export function listPublishedSuspicions(state: State, context: StepContext): readonly Suspicion[] {
	const fingerprints = new Set([...state.suspicion.crashes.keys(), ...state.suspicion.peerSuspicions.keys()]);
	return [...fingerprints]
		.map(fingerprint => ({
			fingerprint,
			crashes: [...getCrashIds(state, fingerprint, context)],
			expires: getExpiry(state, fingerprint),
		}))
		.filter(each => each.crashes.length > 0)
		.toSorted((a, b) => b.crashes.length - a.crashes.length)
		.slice(0, maxPublishedSuspicions);
}
