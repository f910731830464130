/** Holds (reservations of KV memory at engines) that are no longer needed and are being released. */
import {Map as Table} from 'immutable';

/**
 * Time after its deadline during which a hold is left to its owner. Host clocks may differ, and the owner releases the hold
 * itself.
 */
export const holdGraceMs = 5000;

/** Releases in progress at one time. */
export const releaseLimit = 10_000;

export type Release = {
	readonly upstream: string;
	/** When the release request is sent again, on the core's clock. */
	readonly retryAt: number;
	readonly attempts: number;
};

export type HoldsState = {
	/** Keyed by hold. */
	readonly releases: Table<string, Release>;
};

export const initialHolds: HoldsState = {releases: Table()};
