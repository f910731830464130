/** Planned stops: hosts stop one after another, and upstreams get no new work during their stop. */
import {Set as Group} from 'immutable';
import {type Effect} from '../../types/effect.js';
import {
	type StepContext, type Feature, type State, type StepResult,
} from '../../types/state.js';
import {chain, withoutEffects} from '../../utils/common.js';
import {scheduleUpstreamStops} from './plan.js';
import {findDueStop} from './queries.js';

const checkIntervalMs = 500;

function updateStoppingUpstreams(state: State, wall: number): StepResult {
	const {inForce} = state.configuration;
	const windows = inForce === undefined ? [] : scheduleUpstreamStops(inForce);
	const upstreams = Group(windows.filter(each => each.from <= wall && wall < each.until).map(each => each.target));
	const started = upstreams.subtract(state.stops.upstreams);
	const effects = [...started].map((target): Effect => ({type: 'log', decision: {type: 'stopping', target, reason: 'its planned stop has begun'}}));
	return upstreams.equals(state.stops.upstreams) ? withoutEffects(state) : {state: {...state, stops: {...state.stops, upstreams}}, effects};
}

function stopOwnHost(state: State, {now, wall}: StepContext): StepResult {
	if (state.membership.phase !== 'serving') {
		return withoutEffects(state);
	}

	const stop = findDueStop(state, now, wall);
	return stop === undefined
		? withoutEffects(state)
		: {
			state,
			effects: [
				{type: 'log', decision: {type: 'stopping', target: stop.target.id, reason: `planned stop ${stop.id}`}},
				{type: 'raise', event: {type: 'stop-asked', grace: stop.grace}},
			],
		};
}

function checkStops(state: State, context: StepContext): StepResult {
	return context.now < state.stops.nextCheck
		? withoutEffects(state)
		: chain(
			{...state, stops: {...state.stops, nextCheck: context.now + checkIntervalMs}},
			current => updateStoppingUpstreams(current, context.wall),
			current => stopOwnHost(current, context),
		);
}

export const stopsFeature: Feature = {
	name: 'stops',
	handle(state, event, context) {
		switch (event.type) {
			case 'tick': {
				return checkStops(state, context);
			}

			case 'configuration-adopted': {
				return updateStoppingUpstreams(state, context.wall);
			}

			default: {
				return withoutEffects(state);
			}
		}
	},
};
