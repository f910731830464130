/** Mechanisms turned off one at a time, to show that the invariants notice. Each acts on the stream of events, effects and states. */
import {type Effect, type Event, type State} from '../../src/core/index.js';
import {type Host} from './hosts.js';

export type Mutation = {
	readonly name: string;
	/** Events that the host takes instead; undefined leaves the event as it is. */
	readonly event?: (event: Event, host: Host) => readonly Event[] | undefined;
	/** Effects that happen instead; undefined leaves the effect as it is. */
	readonly effect?: (effect: Effect, host: Host) => readonly Effect[] | undefined;
	readonly state?: (state: State, host: Host) => State;
};
