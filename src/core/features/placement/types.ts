/** Placement state: the engines that this host controls, and the progress of its orders to each. */
import {Map as Table, Set as Group} from 'immutable';
import {type OrderNumber} from '../../types/upstream.js';

/** Times are monotonic, in milliseconds. */
export type OrderProgress
	/** No action before this time. */
	= | {readonly type: 'waiting'; readonly until: number}
	/** The engine was asked for its current orders; `reserved` loads are already taken from the credit. */
		| {readonly type: 'reading'; readonly since: number; readonly reserved: number}
	/** An order was sent. */
		| {readonly type: 'ordering'; readonly since: number; readonly number: OrderNumber};

/** An engine that this host controls. */
export type ControlledEngine = {
	readonly upstream: string;
	/** Set once the engine refuses older numbers since this host took over, or if it does not check numbers at all. */
	readonly isSealed: boolean;
	readonly progress: OrderProgress;
	/** Time since which this host waits for the engine's running requests to finish, in milliseconds. */
	readonly draining?: number;
};

export type PlacementState = {
	/** Engines that this host controls, by id. */
	readonly controlled: Table<string, ControlledEngine>;
	/** Engines about to load other weights, as each host computes for itself; they are sent no new work. */
	readonly changing: Group<string>;
	/** Loads that this host may order, and the last of the weight store's slots that was counted. */
	readonly credit: number;
	readonly slot: number;
	/** Monotonic time of the next reconciliation, in milliseconds. */
	readonly nextReconciliation: number;
};

export const initialPlacement: PlacementState = {
	controlled: Table(),
	changing: Group(),
	credit: 0,
	slot: 0,
	nextReconciliation: 0,
};
