/** Reads which requests are suspected, and where these may run. */
import {type Upstream} from '../../types/configuration.js';
import {type Suspicion} from '../../types/peer.js';
import {type Request} from '../../types/request.js';
import {type Context, type State} from '../../types/state.js';
import {firstChoices, hashText} from '../../utils/hashes.js';
import {upstreamsFor} from '../takeover/queries.js';
import {convictionThreshold, suspectUpstreamLimit} from './types.js';

/** Suspicions in one heartbeat. */
const maxPublishedSuspicions = 64;

/**
 * @param state - Core state.
 * @param fingerprint - Fingerprint of a request.
 * @param context - Time and random source.
 * @returns Ids of the distinct crashes held against it, here or at peers.
 */
export function crashesOf(state: State, fingerprint: string, {wall}: Context): ReadonlySet<string> {
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
 * @returns Whether the request is to be refused anywhere.
 */
export function isConvicted(state: State, fingerprint: string, context: Context): boolean {
	return crashesOf(state, fingerprint, context).size >= convictionThreshold;
}

/**
 * @param state - Core state.
 * @param fingerprint - Fingerprint of a request.
 * @param context - Time and random source.
 * @returns Whether an upstream ended while it ran, so that it may run once more, alone.
 */
export function isSuspect(state: State, fingerprint: string, context: Context): boolean {
	return crashesOf(state, fingerprint, context).size > 0;
}

/**
 * Every host computes the same few upstreams, so that a suspect that is sent again through another host endangers no others.
 *
 * @param state - Core state.
 * @param request - Suspected request.
 * @param context - Time and random source.
 * @returns Upstreams it may run at, in order; those that ended with it come only if there are no others.
 */
export function suspectUpstreams(state: State, request: Request, context: Context): readonly Upstream[] {
	const crashed = new Set([...crashesOf(state, request.fingerprint, context)].map(id => id.split('/')[0]));
	const all = upstreamsFor(state, request);
	const notCrashed = all.filter(each => !crashed.has(each.id));
	const members = (notCrashed.length > 0 ? notCrashed : all).map(upstream => ({upstream, hash: hashText(upstream.id)}));
	return firstChoices(hashText(request.fingerprint), members, suspectUpstreamLimit).map(each => each.upstream);
}

/**
 * To be asked before a request is sent: a suspect runs apart from other suspects and from new work.
 *
 * @param state - Core state.
 * @param request - Request to send.
 * @param upstream - Upstream considered for it.
 * @param context - Time and random source.
 * @returns Whether suspicion lets it run there now.
 */
export function mayRunAt(state: State, request: Request, upstream: string, context: Context): boolean {
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
		|| suspectUpstreams(state, request, context).some(each => each.id === upstream);
}

function getExpiry(state: State, fingerprint: string): number {
	const seen = state.suspicion.crashes.get(fingerprint) ?? [];
	return Math.max(state.suspicion.peerSuspicions.get(fingerprint)?.expires ?? 0, ...seen.map(each => each.expires));
}

/**
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns What heartbeats tell peers, the gravest first.
 */
export function publishedSuspicions(state: State, context: Context): readonly Suspicion[] {
	const fingerprints = new Set([...state.suspicion.crashes.keys(), ...state.suspicion.peerSuspicions.keys()]);
	return [...fingerprints]
		.map(fingerprint => ({
			fingerprint,
			crashes: [...crashesOf(state, fingerprint, context)],
			expires: getExpiry(state, fingerprint),
		}))
		.filter(each => each.crashes.length > 0)
		.toSorted((a, b) => b.crashes.length - a.crashes.length)
		.slice(0, maxPublishedSuspicions);
}
