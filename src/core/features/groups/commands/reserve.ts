/** Seeks memory for a group: one engine after another, all or nothing, and never for long. */
import {type EventOf} from '../../../types/event.js';
import {type Effect} from '../../../types/effect.js';
import {type Request} from '../../../types/request.js';
import {type Context, type State, type Step} from '../../../types/state.js';
import {chain, only} from '../../../utils/common.js';
import {upstream as configured} from '../../configuration/queries.js';
import {findGroupByHold, planGroup} from '../queries.js';
import {type Group, type GroupPart} from '../types.js';
import {dissolveGroup, releaseHolds} from './release.js';

/** Longest wait for one engine while others are held, in milliseconds. */
const maxWaitMs = 10_000;
/** Time after which a refused hold is asked for again, in milliseconds. */
const retryIntervalMs = 200;
/** After a failure the service waits up to this long, drawn at random so that two hosts do not keep meeting, in milliseconds. */
const maxBackoffMs = 1000;
/**
 * Memory is held on a lease that its owner renews, in milliseconds: when the owner dies, others give it back once the lease is
 * over, however long its request had.
 */
const leaseDurationMs = 10_000;
const renewalIntervalMs = 3000;

function setGroup(state: State, group: Group): State {
	return {...state, groups: {...state.groups, groups: state.groups.groups.set(group.request.id, group)}};
}

function requestCurrentPart(state: State, group: Group, context: Context): readonly Effect[] {
	return group.progress.type === 'asking' ? requestLease(state, group.parts[group.progress.index]!, context) : [];
}

function requestLease(state: State, {hold, upstream, tokens}: GroupPart, {wall}: Context): readonly Effect[] {
	const address = configured(state, upstream)?.address;
	const deadline = wall + leaseDurationMs;
	return address === undefined
		? []
		: [{
			type: 'hold', hold, upstream, address, tokens, deadline,
		}];
}

function requestPart(state: State, group: Group, index: number, context: Context): Step {
	const next: Group = {...group, progress: {type: 'asking', index, since: context.now}};
	return {state: setGroup(state, next), effects: requestCurrentPart(state, next, context)};
}

function failGroup(state: State, request: Request, context: Context, reason: string): Step {
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
 * @param request - Request whose prompt no engine holds alone.
 * @param context - Time and random source.
 * @returns The next state; the first engine is asked.
 */
export function formGroup(state: State, request: Request, context: Context): Step {
	const parts = planGroup(state, request, context);
	const counted = {...state, groups: {...state.groups, attempts: state.groups.attempts + 1}};
	return parts === undefined
		? failGroup(counted, request, context, 'too few engines')
		: requestPart(counted, {
			request, parts, progress: {type: 'asking', index: 0, since: context.now}, renewedAt: context.now,
		}, 0, context);
}

function handleGrant(state: State, group: Group, index: number, context: Context): Step {
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
 * @returns The next state; memory granted to nobody is given back.
 */
export function handleHoldAnswer(state: State, event: EventOf<'hold-answered'>, context: Context): Step {
	const group = findGroupByHold(state, event.hold);
	if (group === undefined) {
		return event.granted ? releaseHolds(state, [event], 'wanted no longer') : only(state);
	}

	const {progress} = group;
	if (progress.type !== 'asking' || group.parts[progress.index]?.hold !== event.hold) {
		return only(state);
	}

	return event.granted
		? handleGrant(state, group, progress.index, context)
		: only(setGroup(state, {...group, progress: {...progress, retryAt: context.now + retryIntervalMs}}));
}

function advanceGroup(state: State, group: Group, context: Context): Step {
	const {progress, request} = group;
	if (progress.type !== 'asking') {
		return only(state);
	}

	if (context.now - progress.since >= maxWaitMs) {
		return failGroup(state, request, context, 'no memory in time');
	}

	if (progress.retryAt === undefined || progress.retryAt > context.now) {
		return only(state);
	}

	const next: Group = {...group, progress: {...progress, retryAt: undefined}};
	return {state: setGroup(state, next), effects: requestCurrentPart(state, next, context)};
}

function getHeldParts({parts, progress}: Group): readonly GroupPart[] {
	return progress.type === 'held' ? parts : parts.slice(0, progress.index);
}

/** A lease that lapsed, because this process was paused, is not taken up again: its memory may be another's by now. */
function renewLeases(state: State, request: string, context: Context): Step {
	const group = state.groups.groups.get(request);
	const age = context.now - (group?.renewedAt ?? context.now);
	if (group === undefined || age < renewalIntervalMs || age >= leaseDurationMs) {
		return only(state);
	}

	return {
		state: setGroup(state, {...group, renewedAt: context.now}),
		effects: getHeldParts(group).flatMap(part => requestLease(state, part, context)),
	};
}

/**
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns The next state; refused holds are asked for again, and groups that waited too long are given up.
 */
export function advanceGroups(state: State, context: Context): Step {
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
 * @param upstream - Engine that has gone or started again.
 * @param context - Time and random source.
 * @returns The next state, without groups that were to include it; those that run end with their attempt.
 */
export function handleEngineLoss(state: State, upstream: string, context: Context): Step {
	const affected = [...state.groups.groups.values()].filter(group =>
		group.progress.type === 'asking' && group.parts.some(part => part.upstream === upstream));
	return chain(
		state,
		...affected.map(({request}) => (current: State) => failGroup(current, request, context, `${upstream} is gone`)),
	);
}
