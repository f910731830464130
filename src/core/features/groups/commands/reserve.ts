/** Reserves memory for a group: one engine after another, all or nothing, and with a limited wait. */
import {type EventOf} from '../../../types/event.js';
import {type Effect} from '../../../types/effect.js';
import {type Request} from '../../../types/request.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {chain, withoutEffects} from '../../../utils/common.js';
import {findUpstream as configured} from '../../configuration/queries.js';
import {findGroupByHold, planGroup} from '../queries.js';
import {type Group, type GroupPart} from '../types.js';
import {dissolveGroup, releaseHolds} from './release.js';

/** Longest wait for one engine while others are held. */
const maxWaitMs = 10_000;
/** A refused hold is requested again after this time. */
const retryIntervalMs = 200;
/** Longest backoff of a service after a failure; random, so that two hosts do not keep colliding. */
const maxBackoffMs = 1000;
/**
 * Memory is held on a lease that its owner renews. When the owner dies, other hosts release the memory once the lease expires,
 * however long the deadline of its request.
 */
const leaseDurationMs = 10_000;
const renewalIntervalMs = 3000;

function setGroup(state: State, group: Group): State {
	return {...state, groups: {...state.groups, groups: state.groups.groups.set(group.request.id, group)}};
}

function requestCurrentPart(state: State, group: Group, context: StepContext): readonly Effect[] {
	return group.progress.type === 'asking' ? requestLease(state, group.parts[group.progress.index]!, context) : [];
}

function requestLease(state: State, {hold, upstream, tokens}: GroupPart, {wall}: StepContext): readonly Effect[] {
	const address = configured(state, upstream)?.address;
	const deadline = wall + leaseDurationMs;
	return address === undefined
		? []
		: [{
			type: 'hold', hold, upstream, address, tokens, deadline,
		}];
}

function requestPart(state: State, group: Group, index: number, context: StepContext): StepResult {
	const next: Group = {...group, progress: {type: 'asking', index, since: context.now}};
	return {state: setGroup(state, next), effects: requestCurrentPart(state, next, context)};
}

function failGroup(state: State, request: Request, context: StepContext, reason: string): StepResult {
	const until = context.now + context.random.integer(retryIntervalMs, maxBackoffMs);
	const backoffDeadlines = state.groups.backoffDeadlines.set(request.service, until);
	return chain(
		{...state, groups: {...state.groups, backoffDeadlines}},
		current => dissolveGroup(current, request.id, reason),
		current => ({state: current, effects: [{type: 'raise', event: {type: 'group-failed', request}}]}),
	);
}

/**
 * @param state - Core state.
 * @param request - Request whose prompt does not fit into one engine.
 * @param context - Time and random source.
 * @returns The next step, which requests memory at the first engine, or fails if the usable engines are too few.
 */
export function formGroup(state: State, request: Request, context: StepContext): StepResult {
	const parts = planGroup(state, request, context);
	const counted = {...state, groups: {...state.groups, attempts: state.groups.attempts + 1}};
	return parts === undefined
		? failGroup(counted, request, context, 'too few engines')
		: requestPart(counted, {
			request, parts, progress: {type: 'asking', index: 0, since: context.now}, renewedAt: context.now,
		}, 0, context);
}

function handleGrant(state: State, group: Group, index: number, context: StepContext): StepResult {
	if (index + 1 < group.parts.length) {
		return requestPart(state, group, index + 1, context);
	}

	const segments = group.parts.map(({upstream, hold, from, to}) => ({
		upstream, hold, from, to,
	}));
	return {
		state: setGroup(state, {...group, progress: {type: 'held'}}),
		effects: [
			{
				type: 'log', decision: {
					type: 'hold', hold: group.parts[0]!.hold, upstream: group.parts.map(each => each.upstream).join(' '), change: 'held', reason: `all ${group.parts.length} engines`,
				},
			},
			{type: 'raise', event: {type: 'group-held', request: group.request, segments}},
		],
	};
}

/**
 * @param state - Core state.
 * @param event - An engine's answer.
 * @param context - Time and random source.
 * @returns The next step; memory granted to a group that no longer exists is released.
 */
export function handleHoldAnswer(state: State, event: EventOf<'hold-answered'>, context: StepContext): StepResult {
	const group = findGroupByHold(state, event.hold);
	if (group === undefined) {
		return event.granted ? releaseHolds(state, [event], 'no longer needed') : withoutEffects(state);
	}

	const {progress} = group;
	if (progress.type !== 'asking' || group.parts[progress.index]?.hold !== event.hold) {
		return withoutEffects(state);
	}

	return event.granted
		? handleGrant(state, group, progress.index, context)
		: withoutEffects(setGroup(state, {...group, progress: {...progress, retryAt: context.now + retryIntervalMs}}));
}

function advanceGroup(state: State, group: Group, context: StepContext): StepResult {
	const {progress, request} = group;
	if (progress.type !== 'asking') {
		return withoutEffects(state);
	}

	if (context.now - progress.since >= maxWaitMs) {
		return failGroup(state, request, context, 'no memory in time');
	}

	if (progress.retryAt === undefined || progress.retryAt > context.now) {
		return withoutEffects(state);
	}

	const next: Group = {...group, progress: {...progress, retryAt: undefined}};
	return {state: setGroup(state, next), effects: requestCurrentPart(state, next, context)};
}

function getHeldParts({parts, progress}: Group): readonly GroupPart[] {
	return progress.type === 'held' ? parts : parts.slice(0, progress.index);
}

/** Renews a group's leases when due. A lease that expired while this process was paused is not renewed: others may hold the memory. */
function renewLeases(state: State, request: string, context: StepContext): StepResult {
	const group = state.groups.groups.get(request);
	const age = context.now - (group?.renewedAt ?? context.now);
	if (group === undefined || age < renewalIntervalMs || age >= leaseDurationMs) {
		return withoutEffects(state);
	}

	return {
		state: setGroup(state, {...group, renewedAt: context.now}),
		effects: getHeldParts(group).flatMap(part => requestLease(state, part, context)),
	};
}

/**
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns The next step, which requests refused holds again, abandons groups that waited too long, and renews leases.
 */
export function advanceGroups(state: State, context: StepContext): StepResult {
	return chain(
		state,
		...[...state.groups.groups.values()].flatMap(group => [
			(current: State) => advanceGroup(current, group, context),
			(current: State) => renewLeases(current, group.request.id, context),
		]),
	);
}

/**
 * @param state - Core state.
 * @param upstream - Engine that is unreachable or has restarted.
 * @param context - Time and random source.
 * @returns The next step, which abandons groups that are still being formed with it; running ones end with their attempt.
 */
export function handleEngineLoss(state: State, upstream: string, context: StepContext): StepResult {
	const affected = [...state.groups.groups.values()].filter(group =>
		group.progress.type === 'asking' && group.parts.some(part => part.upstream === upstream));
	return chain(
		state,
		...affected.map(({request}) => (current: State) => failGroup(current, request, context, `${upstream} is unreachable or restarted`)),
	);
}
