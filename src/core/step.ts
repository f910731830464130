/** Entry of the core: passes each event to every feature and collects the resulting effects. */
import {configurationFeature} from './features/configuration/feature.js';
import {initialConfiguration} from './features/configuration/types.js';
import {holdsFeature} from './features/holds/feature.js';
import {initialHolds} from './features/holds/types.js';
import {groupsFeature} from './features/groups/feature.js';
import {initialGroups} from './features/groups/types.js';
import {keysFeature} from './features/keys/feature.js';
import {initialKeys} from './features/keys/types.js';
import {membershipFeature} from './features/membership/feature.js';
import {initialMembership} from './features/membership/types.js';
import {placementFeature} from './features/placement/feature.js';
import {initialPlacement} from './features/placement/types.js';
import {pollingFeature} from './features/polling/feature.js';
import {initialPolling} from './features/polling/types.js';
import {requestsFeature} from './features/requests/feature.js';
import {initialRequests} from './features/requests/types.js';
import {stopsFeature} from './features/stops/feature.js';
import {initialStops} from './features/stops/types.js';
import {suspicionFeature} from './features/suspicion/feature.js';
import {initialSuspicion} from './features/suspicion/types.js';
import {ticketsFeature} from './features/tickets/feature.js';
import {initialTickets} from './features/tickets/types.js';
import {upstreamsFeature} from './features/upstreams/feature.js';
import {initialUpstreams} from './features/upstreams/types.js';
import {circuitsFeature} from './features/circuits/feature.js';
import {initialCircuits} from './features/circuits/types.js';
import {limitsFeature} from './features/limits/feature.js';
import {initialLimits} from './features/limits/types.js';
import {prefixesFeature} from './features/prefixes/feature.js';
import {initialPrefixes} from './features/prefixes/types.js';
import {retriesFeature} from './features/retries/feature.js';
import {initialRetries} from './features/retries/types.js';
import {routingFeature} from './features/routing/feature.js';
import {initialRouting} from './features/routing/types.js';
import {workFeature} from './features/work/feature.js';
import {initialWork} from './features/work/types.js';
import {type Effect} from './types/effect.js';
import {type Event} from './types/event.js';
import {type Member} from './types/peer.js';
import {
	type StepContext,
	type Feature,
	type State,
	type StepResult,
} from './types/state.js';

/** The order matters: features that update views of upstreams and members come before those that decide on them. */
const features: readonly Feature[] = [
	configurationFeature,
	workFeature,
	prefixesFeature,
	upstreamsFeature,
	pollingFeature,
	suspicionFeature,
	circuitsFeature,
	ticketsFeature,
	keysFeature,
	holdsFeature,
	limitsFeature,
	retriesFeature,
	routingFeature,
	groupsFeature,
	requestsFeature,
	membershipFeature,
	stopsFeature,
	placementFeature,
];

/**
 * @param self - Host that the state belongs to.
 * @returns The state of a newly started host.
 */
export function initialState(self: Member): State {
	return {
		self,
		configuration: initialConfiguration,
		holds: initialHolds,
		keys: initialKeys,
		membership: initialMembership,
		placement: initialPlacement,
		polling: initialPolling,
		requests: initialRequests,
		stops: initialStops,
		suspicion: initialSuspicion,
		tickets: initialTickets,
		upstreams: initialUpstreams,
		work: initialWork,
		routing: initialRouting,
		retries: initialRetries,
		prefixes: initialPrefixes,
		limits: initialLimits,
		circuits: initialCircuits,
		groups: initialGroups,
	};
}

/**
 * Handles one event. Events that features raise are handled within the same step, in order.
 *
 * @param state - Core state.
 * @param event - Event.
 * @param context - Time and random source.
 * @returns The next state and the effects to run, in order.
 */
export function step(state: State, event: Event, context: StepContext): StepResult {
	const pending: Event[] = [event];
	const effects: Effect[] = [];
	let current = state;
	for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
		for (const feature of features) {
			const result = feature.handle(current, next, context);
			current = result.state;
			for (const effect of result.effects) {
				if (effect.type === 'raise') {
					pending.push(effect.event);
				} else {
					effects.push(effect);
				}
			}
		}
	}

	return {state: current, effects};
}
