/** Seeks memory for a group: one engine after another, all or nothing, and never for long. */
import {type EventOf} from '../../../types/event.js';
import {type Effect} from '../../../types/effect.js';
import {type Request} from '../../../types/request.js';
import {type Context, type State, type Step} from '../../../types/state.js';
import {chain, only} from '../../../utils/common.js';
import {upstream as configured} from '../../configuration/queries.js';
import {groupOf, planGroup} from '../queries.js';
import {type Group, type Part} from '../types.js';
import {dissolve, giveBack} from './release.js';

/** Longest wait for one engine while others are held, in milliseconds. */
const longestWait = 10_000;
/** Time after which a refused hold is asked for again, in milliseconds. */
const askInterval = 200;
/** After a failure the service waits up to this long, drawn at random so that two hosts do not keep meeting, in milliseconds. */
const longestPause = 1000;
/**
 * Memory is held on a lease that its owner renews, in milliseconds: when the owner dies, others give it back once the lease is
 * over, however long its request had.
 */
const leaseTime = 10_000;
const renewalInterval = 3000;

function put(state: State, group: Group): State {
	return {...state, groups: {...state.groups, groups: state.groups.groups.set(group.request.id, group)}};
}

function ask(state: State, group: Group, context: Context): readonly Effect[] {
	return group.progress.type === 'asking' ? lease(state, group.parts[group.progress.index]!, context) : [];
}

function lease(state: State, {hold, upstream, tokens}: Part, {wall}: Context): readonly Effect[] {
	const address = configured(state, upstream)?.address;
	const deadline = wall + leaseTime;
	return address === undefined
		? []
		: [{
			type: 'hold', hold, upstream, address, tokens, deadline,
		}];
}

function askFor(state: State, group: Group, index: number, context: Context): Step {
	const next: Group = {...group, progress: {type: 'asking', index, since: context.now}};
	return {state: put(state, next), effects: ask(state, next, context)};
}

function fail(state: State, request: Request, context: Context, reason: string): Step {
	const until = context.now + context.random.integer(askInterval, longestPause);
	const pauses = state.groups.pauses.set(request.service, until);
	return chain(
		{...state, groups: {...state.groups, pauses}},
		current => dissolve(current, request.id, reason),
		current => ({state: current, effects: [{type: 'raise', event: {type: 'group-failed', request}}]}),
	);
}

/**
 * @param state - Core state.
 * @param request - Request whose prompt no engine holds alone.
 * @param context - Time and random source.
 * @returns The next state; the first engine is asked.
 */
export function form(state: State, request: Request, context: Context): Step {
	const parts = planGroup(state, request, context);
	const counted = {...state, groups: {...state.groups, tried: state.groups.tried + 1}};
	return parts === undefined
		? fail(counted, request, context, 'too few engines')
		: askFor(counted, {
			request, parts, progress: {type: 'asking', index: 0, since: context.now}, renewedAt: context.now,
		}, 0, context);
}

function granted(state: State, group: Group, index: number, context: Context): Step {
	if (index + 1 < group.parts.length) {
		return askFor(state, group, index + 1, context);
	}

	const segments = group.parts.map(({upstream, hold, from, to}) => ({
		upstream, hold, from, to,
	}));
	return {
		state: put(state, {...group, progress: {type: 'held'}}),
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
export function hear(state: State, event: EventOf<'hold-answered'>, context: Context): Step {
	const group = groupOf(state, event.hold);
	if (group === undefined) {
		return event.granted ? giveBack(state, [event], 'wanted no longer') : only(state);
	}

	const {progress} = group;
	if (progress.type !== 'asking' || group.parts[progress.index]?.hold !== event.hold) {
		return only(state);
	}

	return event.granted
		? granted(state, group, progress.index, context)
		: only(put(state, {...group, progress: {...progress, again: context.now + askInterval}}));
}

function press(state: State, group: Group, context: Context): Step {
	const {progress, request} = group;
	if (progress.type !== 'asking') {
		return only(state);
	}

	if (context.now - progress.since >= longestWait) {
		return fail(state, request, context, 'no memory in time');
	}

	if (progress.again === undefined || progress.again > context.now) {
		return only(state);
	}

	const next: Group = {...group, progress: {...progress, again: undefined}};
	return {state: put(state, next), effects: ask(state, next, context)};
}

function heldParts({parts, progress}: Group): readonly Part[] {
	return progress.type === 'held' ? parts : parts.slice(0, progress.index);
}

/** A lease that lapsed, because this process was paused, is not taken up again: its memory may be another's by now. */
function renew(state: State, request: string, context: Context): Step {
	const group = state.groups.groups.get(request);
	const age = context.now - (group?.renewedAt ?? context.now);
	if (group === undefined || age < renewalInterval || age >= leaseTime) {
		return only(state);
	}

	return {
		state: put(state, {...group, renewedAt: context.now}),
		effects: heldParts(group).flatMap(part => lease(state, part, context)),
	};
}

/**
 * @param state - Core state.
 * @param context - Time and random source.
 * @returns The next state; refused holds are asked for again, and groups that waited too long are given up.
 */
export function pressGroups(state: State, context: Context): Step {
	return chain(
		state,
		...[...state.groups.groups.values()].flatMap(group => [
			(current: State) => press(current, group, context),
			(current: State) => renew(current, group.request.id, context),
		]),
	);
}

/**
 * @param state - Core state.
 * @param upstream - Engine that has gone or started again.
 * @param context - Time and random source.
 * @returns The next state, without groups that were to include it; those that run end with their attempt.
 */
export function loseEngine(state: State, upstream: string, context: Context): Step {
	const broken = [...state.groups.groups.values()].filter(group =>
		group.progress.type === 'asking' && group.parts.some(part => part.upstream === upstream));
	return chain(
		state,
		...broken.map(({request}) => (current: State) => fail(current, request, context, `${upstream} is gone`)),
	);
}
