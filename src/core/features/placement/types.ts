/** Orders to engines: what this host, as the orderer of some, is doing with each. */
import {Map as Table, Set as Group} from 'immutable';
import {type OrderNumber} from '../../types/upstream.js';

/** Times are monotonic, in milliseconds. */
export type OrderProgress
	/** Nothing before this time. */
	= | {readonly type: 'waiting'; readonly until: number}
	/** The engine was asked for its orders afresh; a load that may follow is already taken from the credit. */
		| {readonly type: 'reading'; readonly since: number; readonly reserved: number}
	/** An order was sent. */
		| {readonly type: 'ordering'; readonly since: number; readonly number: OrderNumber};

/** One engine that this host orders. */
export type ControlledEngine = {
	readonly upstream: string;
	/** Whether older numbers are refused since this host took over, or never will be. */
	readonly isSealed: boolean;
	readonly progress: OrderProgress;
	/** Since when its running requests are waited for, in milliseconds. */
	readonly draining?: number;
};

export type PlacementState = {
	/** Engines that this host orders. */
	readonly controlled: Table<string, ControlledEngine>;
	/** Engines about to load other weights, by every host's own account: they get no new work. */
	readonly changing: Group<string>;
	/** Loads that this host may order, and the last slot of the weight store that was counted. */
	readonly credit: number;
	readonly slot: number;
	/** Monotonic time of the next look, in milliseconds. */
	readonly nextReconciliation: number;
};

export const initialPlacement: PlacementState = {
	controlled: Table(),
	changing: Group(),
	credit: 0,
	slot: 0,
	nextReconciliation: 0,
};
