/** Upstreams that fail and are left alone for a while. */
import {Map as Table} from 'immutable';

export type Circuit = {
	/** Failures without a success between them. */
	readonly failures: number;
	/** Time until which nothing is sent, in milliseconds; after it one attempt at a time. */
	readonly openUntil: number;
};

export type CircuitsState = {
	/** By upstream; absent where the last attempt was a success. */
	readonly circuits: Table<string, Circuit>;
};

export const initialCircuits: CircuitsState = {circuits: Table()};

/** Failures in a row that open a circuit. */
export const failureThreshold = 3;
