/** Blames requests for crashes of upstreams, and clears those that were only near. */
import {type Attempt, type Request} from '../../types/request.js';
import {type Suspicion} from '../../types/peer.js';
import {type Report} from '../../types/upstream.js';
import {type Context, type State, type Step} from '../../types/state.js';
import {only} from '../../utils/common.js';
import {crashesOf, publishedSuspicions} from './queries.js';
import {
	confirmedCrashLifetimeMs, convictionThreshold, suspectLimit, unconfirmedCrashLifetimeMs, type Crash, type SuspicionState,
} from './types.js';

/** Attempts at an upstream without reports that break within this time are taken for one crash, in milliseconds. */
const crashWindowMs = 1000;

function updateSuspicion(state: State, part: Partial<SuspicionState>): State {
	return {...state, suspicion: {...state.suspicion, ...part}};
}

function createLogEffects(fingerprint: string, change: string, reason: string): Step['effects'] {
	return [{
		type: 'log', decision: {
			type: 'suspected', fingerprint, change, reason,
		},
	}];
}

/**
 * @param state - Core state.
 * @param request - Request that was sent.
 * @param attempt - Its sending.
 * @returns The state with the attempt at its upstream.
 */
export function addRunningAttempt(state: State, request: Request, attempt: Attempt): State {
	const {upstream, upstreamIncarnation, began} = attempt;
	return updateSuspicion(state, {
		runningAttempts: state.suspicion.runningAttempts.set(attempt.id, {
			fingerprint: request.fingerprint, upstream, incarnation: upstreamIncarnation, began,
		}),
	});
}

/**
 * @param state - Core state.
 * @param attempt - Sending that is over.
 * @returns The state without it.
 */
export function removeRunningAttempt(state: State, attempt: string): State {
	return updateSuspicion(state, {runningAttempts: state.suspicion.runningAttempts.delete(attempt)});
}

function filterCrashes(state: State, predicate: (crash: Crash, fingerprint: string) => boolean): State {
	const crashes = state.suspicion.crashes
		.map((list, fingerprint) => list.every(each => predicate(each, fingerprint)) ? list : list.filter(each => predicate(each, fingerprint)))
		.filter(list => list.length > 0);
	return updateSuspicion(state, {crashes});
}

function createCrash(attempt: Attempt, {now, wall}: Context): Crash {
	const {upstream, upstreamIncarnation: incarnation} = attempt;
	const moment = incarnation ?? `at-${Math.floor(wall / crashWindowMs)}`;
	return {
		id: `${upstream}/${moment}`, upstream, incarnation, at: now, expires: wall + unconfirmedCrashLifetimeMs,
	};
}

/** Whether a request that is already convicted explains the crash: not one of before this attempt, which reached the upstream since. */
function isExplained(state: State, crash: Crash, {fingerprint, began}: {readonly fingerprint: string; readonly began: number}, context: Context): boolean {
	return state.suspicion.crashes.some((list, other) => other !== fingerprint
		&& list.some(each => each.id === crash.id && each.at >= began)
		&& crashesOf(state, other, context).size >= convictionThreshold);
}

/**
 * Holds a broken attempt against its request, until the upstream proves that it did not crash. A request that ran
 * alone at its second crash is convicted, and whoever else was there is cleared of that crash.
 *
 * @param state - Core state.
 * @param request - Request whose attempt broke.
 * @param attempt - The attempt.
 * @param context - Time and random source.
 * @returns The next state and what is logged.
 */
export function recordCrash(state: State, request: Request, attempt: Attempt, context: Context): Step {
	const {fingerprint} = request;
	const crash = createCrash(attempt, context);
	const before = state.suspicion.crashes.get(fingerprint) ?? [];
	const isKnown = before.some(each => each.id === crash.id);
	const isFull = before.length === 0 && state.suspicion.crashes.size >= suspectLimit;
	if (isKnown || isFull || isExplained(state, crash, {fingerprint, began: attempt.began}, context)) {
		return only(state);
	}

	const next = updateSuspicion(state, {crashes: state.suspicion.crashes.set(fingerprint, [...before, crash])});
	const isConvicted = crashesOf(next, fingerprint, context).size >= convictionThreshold;
	return isConvicted
		? {
			state: filterCrashes(next, (each, other) => other === fingerprint || each.id !== crash.id),
			effects: createLogEffects(fingerprint, 'convicted', crash.id),
		}
		: {state: next, effects: createLogEffects(fingerprint, 'suspected', crash.id)};
}

/**
 * A caller sends a request again within milliseconds, through any host: those linked hear of it before the next heartbeat.
 *
 * @param state - Core state.
 * @param fingerprint - Fingerprint of a request that was just blamed.
 * @param context - Time and random source.
 * @returns The state as it was, and the message to each linked peer.
 */
export function broadcastSuspicion(state: State, fingerprint: string, context: Context): Step {
	const suspicions = publishedSuspicions(state, context).filter(each => each.fingerprint === fingerprint);
	const linked = [...state.membership.peers.values()].filter(peer => peer.connected);
	return {
		state,
		effects: linked.map(peer => ({
			type: 'peer-send', to: peer.member.incarnation.host, message: {type: 'suspected', suspicions},
		})),
	};
}

/**
 * A request that was answered in full crashed nothing, and an upstream that went on with an older attempt did not end.
 *
 * @param state - Core state.
 * @param request - Request that is done.
 * @param attempt - The attempt that answered it.
 * @returns The next state and what is logged.
 */
export function clearSuspicion(state: State, request: Request, attempt: Attempt): Step {
	const {fingerprint} = request;
	const wasSuspect = state.suspicion.crashes.has(fingerprint) || state.suspicion.peerSuspicions.has(fingerprint);
	const remaining = filterCrashes(state, each => each.upstream !== attempt.upstream || each.at < attempt.began);
	const {crashes, peerSuspicions} = remaining.suspicion;
	return {
		state: wasSuspect ? updateSuspicion(remaining, {crashes: crashes.delete(fingerprint), peerSuspicions: peerSuspicions.delete(fingerprint)}) : remaining,
		effects: wasSuspect ? createLogEffects(fingerprint, 'cleared', 'answered in full') : [],
	};
}

/**
 * A report from the same incarnation after a break shows that the upstream did not crash.
 *
 * @param state - Core state.
 * @param report - Report of an upstream.
 * @param context - Time and random source.
 * @returns The next state.
 */
export function acquit(state: State, report: Report, {now}: Context): State {
	const reportedAt = now - report.age;
	const isDisproved = (crash: Crash): boolean => crash.upstream === report.upstream
		&& crash.incarnation === report.incarnation
		&& crash.at < reportedAt;
	return state.suspicion.crashes.isEmpty() ? state : filterCrashes(state, each => !isDisproved(each));
}

/**
 * @param state - Core state.
 * @param upstream - Upstream that came back as another incarnation.
 * @param before - The incarnation that ended.
 * @param context - Time and random source.
 * @returns The state with the crash held against its suspects for longer.
 */
export function confirmCrash(state: State, upstream: string, before: string, {wall}: Context): State {
	const isSameCrash = (crash: Crash): boolean => crash.upstream === upstream && (crash.incarnation ?? before) === before;
	const crashes = state.suspicion.crashes.map(list =>
		list.some(crash => isSameCrash(crash))
			? list.map(crash => isSameCrash(crash) ? {...crash, expires: wall + confirmedCrashLifetimeMs} : crash)
			: list);
	return updateSuspicion(state, {crashes});
}

/**
 * @param state - Core state.
 * @param suspicions - What a peer holds against requests.
 * @param context - Time and random source.
 * @returns The state with it merged.
 */
export function mergePeerSuspicions(state: State, suspicions: readonly Suspicion[], {wall}: Context): State {
	let {peerSuspicions} = state.suspicion;
	for (const {fingerprint, crashes, expires} of suspicions) {
		const before = peerSuspicions.get(fingerprint);
		const isNew = before === undefined && peerSuspicions.size >= suspectLimit;
		if (!isNew && expires > wall) {
			peerSuspicions = peerSuspicions.set(fingerprint, {
				crashes: [...new Set([...(before !== undefined && before.expires > wall ? before.crashes : []), ...crashes])].slice(0, 8),
				expires: Math.max(before?.expires ?? 0, Math.min(expires, wall + confirmedCrashLifetimeMs)),
			});
		}
	}

	return peerSuspicions === state.suspicion.peerSuspicions ? state : updateSuspicion(state, {peerSuspicions});
}

/**
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns The state without what has expired.
 */
export function removeExpired(state: State, {wall}: Context): State {
	const {crashes, peerSuspicions} = state.suspicion;
	if (crashes.isEmpty() && peerSuspicions.isEmpty()) {
		return state;
	}

	return filterCrashes(updateSuspicion(state, {peerSuspicions: peerSuspicions.filter(each => each.expires > wall)}), each => each.expires > wall);
}
