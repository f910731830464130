/** Changes the phase of this host: starting, serving, leaving. */
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {chain, withoutEffects} from '../../../utils/common.js';
import {getRevision} from '../../configuration/queries.js';
import {isIdle} from '../../requests/queries.js';
import {
	adoptionTimeoutMs, minLeavingTimeMs, peerAnswerTimeoutMs,
} from '../constants.js';
import {sendHeartbeatNow} from './send-heartbeat.js';
import {createMemberLog, updateMembership} from './peers.js';

/** Peers are consulted before serving, so that a restarted host does not serve a stale revision from a platform that lags. */
function hasConsultedPeers(state: State, now: number): boolean {
	const {peers, seeds, began = now} = state.membership;
	const ownRevision = getRevision(state);
	const allPeers = [...peers.values()];
	const waited = now - began;
	if (waited >= adoptionTimeoutMs) {
		return true;
	}

	if (allPeers.some(peer => peer.status === 'live' && peer.revision > ownRevision)) {
		return false;
	}

	const hasEveryPeerResponded = allPeers.every(peer => peer.status !== 'known') && seeds.isEmpty();
	return hasEveryPeerResponded || waited >= peerAnswerTimeoutMs;
}

/**
 * Starts serving once a document is in force and the peers have been consulted.
 *
 * @param state - Core state.
 * @param context - Time.
 * @returns The next step.
 */
export function serveWhenReady(state: State, context: StepContext): StepResult {
	if (state.membership.phase !== 'starting' || getRevision(state) === 0 || !hasConsultedPeers(state, context.now)) {
		return withoutEffects(state);
	}

	return chain(
		updateMembership(state, {phase: 'serving'}),
		current => ({state: current, effects: [{type: 'ready', ready: true}]}),
		current => sendHeartbeatNow(current, context),
	);
}

/**
 * Starts the leaving phase: the host takes no new work and notifies its peers at once.
 *
 * @param state - Core state.
 * @param grace - Time for running requests in milliseconds.
 * @param context - Time.
 * @returns The next step.
 */
export function startLeaving(state: State, grace: number, context: StepContext): StepResult {
	const {now} = context;
	if (state.membership.phase === 'leaving') {
		return withoutEffects(state);
	}

	return chain(
		updateMembership(state, {phase: 'leaving', leaving: {since: now, until: now + grace}}),
		current => ({
			state: current,
			effects: [
				{type: 'ready', ready: false},
				createMemberLog(state.self.incarnation.host, 'leaving', `running requests get ${grace} ms`),
			],
		}),
		current => sendHeartbeatNow(current, context),
	);
}

/** Answers that this host forwards for other hosts count like its own. */
function isDrained(state: State): boolean {
	const {forwards, followers} = state.tickets;
	return isIdle(state) && forwards.isEmpty() && followers.isEmpty();
}

/**
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns A step that stops this host once it is leaving and drained, or its grace has passed.
 */
export function stopWhenDrained(state: State, now: number): StepResult {
	const {leaving} = state.membership;
	if (leaving === undefined) {
		return withoutEffects(state);
	}

	const isTooEarly = now < leaving.since + minLeavingTimeMs;
	const canStop = now >= leaving.until || (isDrained(state) && !isTooEarly);
	return canStop ? {state, effects: [{type: 'stopped'}]} : withoutEffects(state);
}
