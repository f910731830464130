/** The core's state: one read-only part for each feature, and what a step needs and gives. */
import {type CircuitsState} from '../features/circuits/types.js';
import {type ConfigurationState} from '../features/configuration/types.js';
import {type HoldsState} from '../features/holds/types.js';
import {type GroupsState} from '../features/groups/types.js';
import {type KeysState} from '../features/keys/types.js';
import {type LimitsState} from '../features/limits/types.js';
import {type MembershipState} from '../features/membership/types.js';
import {type PlacementState} from '../features/placement/types.js';
import {type PollingState} from '../features/polling/types.js';
import {type RequestsState} from '../features/requests/types.js';
import {type StopsState} from '../features/stops/types.js';
import {type PrefixesState} from '../features/prefixes/types.js';
import {type RetriesState} from '../features/retries/types.js';
import {type RoutingState} from '../features/routing/types.js';
import {type SuspicionState} from '../features/suspicion/types.js';
import {type TicketsState} from '../features/tickets/types.js';
import {type UpstreamsState} from '../features/upstreams/types.js';
import {type WorkState} from '../features/work/types.js';
import {type Effect} from './effect.js';
import {type Event} from './event.js';
import {type Member} from './peer.js';

export type State = {
	/** This host. */
	readonly self: Member;
	readonly configuration: ConfigurationState;
	readonly holds: HoldsState;
	readonly keys: KeysState;
	readonly membership: MembershipState;
	readonly placement: PlacementState;
	readonly polling: PollingState;
	readonly requests: RequestsState;
	readonly stops: StopsState;
	readonly suspicion: SuspicionState;
	readonly tickets: TicketsState;
	readonly upstreams: UpstreamsState;
	readonly work: WorkState;
	readonly circuits: CircuitsState;
	readonly prefixes: PrefixesState;
	readonly limits: LimitsState;
	readonly groups: GroupsState;
	readonly retries: RetriesState;
	readonly routing: RoutingState;
};

/** Uniform whole numbers; seeded by whoever drives the core. */
export type Random = {
	/** A whole number from `least` to `most`, both included. */
	readonly integer: (least: number, most: number) => number;
};

export type Context = {
	/** Monotonic time in milliseconds. */
	readonly now: number;
	/** Wall-clock time in milliseconds since 1970. */
	readonly wall: number;
	readonly random: Random;
};

export type Step = {
	readonly state: State;
	readonly effects: readonly Effect[];
};

/** A part of the core that plugs in beside the others. */
export type Feature = {
	readonly name: string;
	/** Returns the next state and the effects of one event; events that are not its own leave the state as it is. */
	readonly handle: (state: State, event: Event, context: Context) => Step;
};
