/** Holds crashes of upstreams against the requests that ran there, and clears requests that did not cause them. */
import {type Attempt, type Request} from '../../types/request.js';
import {type Suspicion} from '../../types/peer.js';
import {type LoadReport} from '../../types/upstream.js';
import {type StepContext, type State, type StepResult} from '../../types/state.js';
import {withoutEffects} from '../../utils/common.js';
import {getCrashIds, listPublishedSuspicions} from './queries.js';
import {
	confirmedCrashLifetimeMs, convictionThreshold, suspectLimit, unconfirmedCrashLifetimeMs, type Crash, type SuspicionState,
} from './types.js';

/** Attempts that break within the same window at an upstream without reports count as one crash. */
const crashWindowMs = 1000;

function updateSuspicion(state: State, part: Partial<SuspicionState>): State {
	return {...state, suspicion: {...state.suspicion, ...part}};
}

function createLogEffects(fingerprint: string, change: string, reason: string): StepResult['effects'] {
	return [{
		type: 'log', decision: {
			type: 'suspected', fingerprint, change, reason,
		},
	}];
}

/**
 * @param state - Core state.
 * @param request - Request that was sent.
 * @param attempt - Attempt that began.
 * @returns The state with the attempt running at its upstream.
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
 * @param attempt - Id of the attempt that ended.
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

function createCrash(attempt: Attempt, {now, wall}: StepContext): Crash {
	const {upstream, upstreamIncarnation: incarnation} = attempt;
	const moment = incarnation ?? `at-${Math.floor(wall / crashWindowMs)}`;
	return {
		id: `${upstream}/${moment}`, upstream, incarnation, at: now, expires: wall + unconfirmedCrashLifetimeMs,
	};
}

/**
 * Whether an already convicted request explains the crash. A crash that was noticed before this attempt began does not, as the
 * attempt reached the upstream after it.
 */
function isExplained(state: State, crash: Crash, {fingerprint, began}: {readonly fingerprint: string; readonly began: number}, context: StepContext): boolean {
	return state.suspicion.crashes.some((list, other) => other !== fingerprint
		&& list.some(each => each.id === crash.id && each.at >= began)
		&& getCrashIds(state, other, context).size >= convictionThreshold);
}

/**
 * Holds a broken attempt against its request as a crash, until the upstream proves that it did not crash. The second distinct
 * crash convicts the request and acquits all other requests of that crash.
 *
 * @param state - Core state.
 * @param request - Request whose attempt broke.
 * @param attempt - The attempt.
 * @param context - Time and random source.
 * @returns The next state and the log effect; unchanged if the crash is known or explained, or there are too many suspects.
 */
export function recordCrash(state: State, request: Request, attempt: Attempt, context: StepContext): StepResult {
	const {fingerprint} = request;
	const crash = createCrash(attempt, context);
	const before = state.suspicion.crashes.get(fingerprint) ?? [];
	const isKnown = before.some(each => each.id === crash.id);
	const isFull = before.length === 0 && state.suspicion.crashes.size >= suspectLimit;
	if (isKnown || isFull || isExplained(state, crash, {fingerprint, began: attempt.began}, context)) {
		return withoutEffects(state);
	}

	const next = updateSuspicion(state, {crashes: state.suspicion.crashes.set(fingerprint, [...before, crash])});
	const isConvicted = getCrashIds(next, fingerprint, context).size >= convictionThreshold;
	return isConvicted
		? {
			state: filterCrashes(next, (each, other) => other === fingerprint || each.id !== crash.id),
			effects: createLogEffects(fingerprint, 'convicted', crash.id),
		}
		: {state: next, effects: createLogEffects(fingerprint, 'suspected', crash.id)};
}

/**
 * Sends a new suspicion to linked peers at once, before the next heartbeat: a caller may repeat the request through another
 * host within milliseconds.
 *
 * @param state - Core state.
 * @param fingerprint - Fingerprint of a request with a new crash.
 * @param context - Time and random source.
 * @returns The unchanged state, and the message to each linked peer.
 */
export function broadcastSuspicion(state: State, fingerprint: string, context: StepContext): StepResult {
	const suspicions = listPublishedSuspicions(state, context).filter(each => each.fingerprint === fingerprint);
	const linked = [...state.membership.peers.values()].filter(peer => peer.connected);
	return {
		state,
		effects: linked.map(peer => ({
			type: 'peer-send', to: peer.member.incarnation.host, message: {type: 'suspected', suspicions},
		})),
	};
}

/**
 * Clears a request that was answered in full. The answer also disproves every crash of the upstream that was noticed after the
 * attempt began, as the attempt survived it.
 *
 * @param state - Core state.
 * @param request - Answered request.
 * @param attempt - Attempt that answered it.
 * @returns The next state and the log effect.
 */
export function clearSuspicion(state: State, request: Request, attempt: Attempt): StepResult {
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
 * Removes crashes that a report disproves: one from the same incarnation, made after the crash was noticed.
 *
 * @param state - Core state.
 * @param report - Report of an upstream.
 * @param context - Time and random source.
 * @returns The next state.
 */
export function acquit(state: State, report: LoadReport, {now}: StepContext): State {
	const reportedAt = now - report.age;
	const isDisproved = (crash: Crash): boolean => crash.upstream === report.upstream
		&& crash.incarnation === report.incarnation
		&& crash.at < reportedAt;
	return state.suspicion.crashes.isEmpty() ? state : filterCrashes(state, each => !isDisproved(each));
}

/**
 * @param state - Core state.
 * @param upstream - Upstream that restarted.
 * @param before - Its incarnation that ended.
 * @param context - Time and random source.
 * @returns The state with the longer lifetime of a confirmed crash.
 */
export function confirmCrash(state: State, upstream: string, before: string, {wall}: StepContext): State {
	const isSameCrash = (crash: Crash): boolean => crash.upstream === upstream && (crash.incarnation ?? before) === before;
	const crashes = state.suspicion.crashes.map(list =>
		list.some(crash => isSameCrash(crash))
			? list.map(crash => isSameCrash(crash) ? {...crash, expires: wall + confirmedCrashLifetimeMs} : crash)
			: list);
	return updateSuspicion(state, {crashes});
}

/**
 * @param state - Core state.
 * @param suspicions - Suspicions of a peer.
 * @param context - Time and random source.
 * @returns The state with the suspicions merged.
 */
export function mergePeerSuspicions(state: State, suspicions: readonly Suspicion[], {wall}: StepContext): State {
	let {peerSuspicions} = state.suspicion;
	for (const {fingerprint, crashes, expires} of suspicions) {
		const before = peerSuspicions.get(fingerprint);
		const isFull = before === undefined && peerSuspicions.size >= suspectLimit;
		if (!isFull && expires > wall) {
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
 * @returns The state without expired crashes and suspicions.
 */
export function removeExpired(state: State, {wall}: StepContext): State {
	const {crashes, peerSuspicions} = state.suspicion;
	if (crashes.isEmpty() && peerSuspicions.isEmpty()) {
		return state;
	}

	return filterCrashes(updateSuspicion(state, {peerSuspicions: peerSuspicions.filter(each => each.expires > wall)}), each => each.expires > wall);
}
