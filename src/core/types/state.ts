/** The core's state, with one read-only slice per feature, and the types of a step. */
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

/** Source of uniformly distributed integers. The driver of the core seeds it. */
export type Random = {
	/** Returns an integer between `min` and `max`, both inclusive. */
	readonly integer: (min: number, max: number) => number;
};

export type StepContext = {
	/** Monotonic time in milliseconds. */
	readonly now: number;
	/** Wall-clock time in milliseconds since 1970. */
	readonly wall: number;
	readonly random: Random;
};

/** Result of handling an event: the next state and the effects to carry out, in order. */
export type StepResult = {
	readonly state: State;
	readonly effects: readonly Effect[];
};

/** Module of the core that owns one slice of the state. */
export type Feature = {
	readonly name: string;
	/** Returns the next state and the effects of an event. Ignores events of other features. */
	readonly handle: (state: State, event: Event, context: StepContext) => StepResult;
};
