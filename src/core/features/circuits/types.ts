/** Circuit breakers: an upstream that keeps failing is excluded for a while. */
import {Map as Table} from 'immutable';

export type Circuit = {
	/** Consecutive failures. */
	readonly failures: number;
	/** End of the open period, in milliseconds; after it one attempt is sent at a time until one succeeds. */
	readonly openUntil: number;
};

export type CircuitsState = {
	/** By upstream; absent after a success. */
	readonly circuits: Table<string, Circuit>;
};

export const initialCircuits: CircuitsState = {circuits: Table()};

/** Consecutive failures that open a circuit. */
export const failureThreshold = 3;
