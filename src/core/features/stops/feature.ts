/** Planned stops: hosts begin theirs in turn, upstreams get no new work in their time. */
import {Set as Group} from 'immutable';
import {type Effect} from '../../types/effect.js';
import {
	type Context, type Feature, type State, type Step,
} from '../../types/state.js';
import {chain, only} from '../../utils/common.js';
import {upstreamWindows} from './plan.js';
import {dueStop} from './queries.js';

/** Milliseconds between two looks. */
const lookInterval = 500;

function stopUpstreams(state: State, wall: number): Step {
	const {inForce} = state.configuration;
	const windows = inForce === undefined ? [] : upstreamWindows(inForce);
	const upstreams = Group(windows.filter(each => each.from <= wall && wall < each.until).map(each => each.target));
	const began = upstreams.subtract(state.stops.upstreams);
	const effects = [...began].map((target): Effect => ({type: 'log', decision: {type: 'stopping', target, reason: 'its planned stop has begun'}}));
	return upstreams.equals(state.stops.upstreams) ? only(state) : {state: {...state, stops: {...state.stops, upstreams}}, effects};
}

function stopSelf(state: State, {now, wall}: Context): Step {
	if (state.membership.phase !== 'serving') {
		return only(state);
	}

	const stop = dueStop(state, now, wall);
	return stop === undefined
		? only(state)
		: {
			state,
			effects: [
				{type: 'log', decision: {type: 'stopping', target: stop.target.id, reason: `planned stop ${stop.id}`}},
				{type: 'raise', event: {type: 'stop-asked', grace: stop.grace}},
			],
		};
}

function look(state: State, context: Context): Step {
	return context.now < state.stops.nextLook
		? only(state)
		: chain(
			{...state, stops: {...state.stops, nextLook: context.now + lookInterval}},
			current => stopUpstreams(current, context.wall),
			current => stopSelf(current, context),
		);
}

export const stopsFeature: Feature = {
	name: 'stops',
	handle(state, event, context) {
		switch (event.type) {
			case 'tick': {
				return look(state, context);
			}

			case 'configuration-adopted': {
				return stopUpstreams(state, context.wall);
			}

			default: {
				return only(state);
			}
		}
	},
};
