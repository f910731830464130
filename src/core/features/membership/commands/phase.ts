/** The phase of this host: starting, serving, leaving. */
import {type Context, type State, type Step} from '../../../types/state.js';
import {chain, only} from '../../../utils/common.js';
import {revision} from '../../configuration/queries.js';
import {isIdle} from '../../requests/queries.js';
import {
	adoptionWait, leavingLinger, peersWait,
} from '../constants.js';
import {beatNow} from './beat.js';
import {memberLog, update} from './peers.js';

/** Peers are asked before serving, so that a stale platform does not take a restarted host back. */
function isAnswered(state: State, now: number): boolean {
	const {peers, seeds, began = now} = state.membership;
	const held = revision(state);
	const all = [...peers.values()];
	const waited = now - began;
	if (waited >= adoptionWait) {
		return true;
	}

	if (all.some(peer => peer.status === 'live' && peer.revision > held)) {
		return false;
	}

	const isEveryoneHeard = all.every(peer => peer.status !== 'known') && seeds.isEmpty();
	return isEveryoneHeard || waited >= peersWait;
}

/**
 * Serves once a document is in force and the peers have been asked.
 *
 * @param state - Core state.
 * @param context - Time.
 * @returns The next step.
 */
export function serveWhenReady(state: State, context: Context): Step {
	if (state.membership.phase !== 'starting' || revision(state) === 0 || !isAnswered(state, context.now)) {
		return only(state);
	}

	return chain(
		update(state, {phase: 'serving'}),
		current => ({state: current, effects: [{type: 'ready', ready: true}]}),
		current => beatNow(current, context),
	);
}

/**
 * Announces at once that this host leaves, and takes nothing new from now on.
 *
 * @param state - Core state.
 * @param grace - Time for running requests in milliseconds.
 * @param context - Time.
 * @returns The next step.
 */
export function leave(state: State, grace: number, context: Context): Step {
	const {now} = context;
	if (state.membership.phase === 'leaving') {
		return only(state);
	}

	return chain(
		update(state, {phase: 'leaving', leaving: {since: now, until: now + grace}}),
		current => ({
			state: current,
			effects: [
				{type: 'ready', ready: false},
				memberLog(state.self.incarnation.host, 'leaving', `running requests get ${grace} ms`),
			],
		}),
		current => beatNow(current, context),
	);
}

/** Answers that other hosts give through this one count as much as its own. */
function hasNothingLeft(state: State): boolean {
	const {forwards, followers} = state.tickets;
	return isIdle(state) && forwards.isEmpty() && followers.isEmpty();
}

/**
 * @param state - Core state.
 * @param now - Monotonic time in milliseconds.
 * @returns A step that stops this host once it leaves and is idle, or its grace is over.
 */
export function stopWhenIdle(state: State, now: number): Step {
	const {leaving} = state.membership;
	if (leaving === undefined) {
		return only(state);
	}

	const isLingering = now < leaving.since + leavingLinger;
	const isOver = now >= leaving.until || (hasNothingLeft(state) && !isLingering);
	return isOver ? {state, effects: [{type: 'stopped'}]} : only(state);
}
