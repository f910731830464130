/** Releases holds at engines and retries until the engine confirms. */
import {type Effect} from '../../types/effect.js';
import {type Hold} from '../../types/upstream.js';
import {type StepContext, type State, type StepResult} from '../../types/state.js';
import {chain, withoutEffects} from '../../utils/common.js';
import {findUpstream as upstreamOf} from '../configuration/queries.js';
import {isSuperseded} from '../membership/queries.js';
import {
	holdGraceMs, releaseLimit, type HoldsState, type Release,
} from './types.js';

/** The interval between two release requests doubles from the minimum to the maximum. */
const minRetryIntervalMs = 200;
const maxRetryIntervalMs = 5000;

function updateReleases(state: State, releases: HoldsState['releases']): State {
	return {...state, holds: {releases}};
}

function sendRelease(state: State, hold: string, release: Release, now: number): StepResult {
	const target = upstreamOf(state, release.upstream);
	const interval = Math.min(maxRetryIntervalMs, minRetryIntervalMs * (2 ** release.attempts));
	const effects: readonly Effect[] = target === undefined
		? []
		: [{
			type: 'release', hold, upstream: release.upstream, address: target.address,
		}];
	return {
		state: updateReleases(state, state.holds.releases.set(hold, {...release, retryAt: now + interval, attempts: release.attempts + 1})),
		effects,
	};
}

/**
 * Starts the release of a hold, unless it is in progress already or too many releases are.
 *
 * @param hold - Hold that is no longer needed.
 * @param upstream - Engine that has it.
 * @returns The next state and the first release request.
 */
export function requestRelease(state: State, hold: string, upstream: string, {now}: StepContext): StepResult {
	const {releases} = state.holds;
	return releases.has(hold) || releases.size >= releaseLimit
		? withoutEffects(state)
		: sendRelease(state, hold, {upstream, retryAt: now, attempts: 0}, now);
}

/**
 * Returns why a hold can be cancelled, or undefined if it can't. A live owner's hold never is: either a newer incarnation
 * of the owner was seen, or the deadline and a grace period have passed.
 */
function findStaleReason(state: State, hold: Hold, wall: number): string | undefined {
	if (isSuperseded(state, hold.owner)) {
		return 'its owner is gone';
	}

	return wall > hold.deadline + holdGraceMs ? 'its deadline is over' : undefined;
}

function reviewHold(state: State, hold: Hold, context: StepContext): StepResult {
	const reason = findStaleReason(state, hold, context.wall);
	if (reason === undefined || state.holds.releases.has(hold.id)) {
		return withoutEffects(state);
	}

	const {id, upstream} = hold;
	const requested = requestRelease(state, id, upstream, context);
	return {
		state: requested.state,
		effects: [
			{
				type: 'log', decision: {
					type: 'hold', hold: id, upstream, change: 'cancelled', reason,
				},
			},
			...requested.effects,
		],
	};
}

/**
 * Compares an engine's list of holds with the releases in progress: cancels stale holds and drops releases of holds that
 * the engine no longer lists.
 *
 * @param upstream - Engine.
 * @param holds - All holds of the engine.
 * @returns The next state and the release requests.
 */
export function reviewHolds(state: State, upstream: string, holds: readonly Hold[], context: StepContext): StepResult {
	const listed = new Set(holds.map(each => each.id));
	const releases = state.holds.releases.filter((each, hold) => each.upstream !== upstream || listed.has(hold));
	return chain(
		releases.size === state.holds.releases.size ? state : updateReleases(state, releases),
		...holds.map(hold => (current: State) => reviewHold(current, hold, context)),
	);
}

/**
 * Ends the retries for a hold.
 *
 * @param hold - Hold that an engine has released.
 * @returns The next state.
 */
export function confirmRelease(state: State, hold: string): State {
	return state.holds.releases.has(hold) ? updateReleases(state, state.holds.releases.delete(hold)) : state;
}

/**
 * Drops the releases at an engine that restarted: its memory is empty.
 *
 * @param upstream - Engine.
 * @returns The next state.
 */
export function dropReleases(state: State, upstream: string): State {
	return updateReleases(state, state.holds.releases.filter(each => each.upstream !== upstream));
}

/**
 * Sends the release requests that are due again and drops those to engines that left the configuration.
 *
 * @returns The next state and the release requests.
 */
export function retryReleases(state: State, {now}: StepContext): StepResult {
	if (state.holds.releases.isEmpty()) {
		return withoutEffects(state);
	}

	const remaining = state.holds.releases.filter(each => upstreamOf(state, each.upstream) !== undefined);
	const due = [...remaining].filter(([, each]) => each.retryAt <= now);
	return chain(updateReleases(state, remaining), ...due.map(([hold, each]) => (current: State) => sendRelease(current, hold, each, now)));
}
