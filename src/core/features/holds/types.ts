/** KV memory at engines that nobody needs any more, and is asked back until the engine confirms. */
import {Map as Table} from 'immutable';

/**
 * Time after its deadline during which a hold is left to its owner, in milliseconds: hosts' clocks may be apart, and the
 * owner gives it back by itself.
 */
export const holdGraceMs = 5000;

/** Releases asked for at one time. */
export const releaseLimit = 10_000;

export type Release = {
	readonly upstream: string;
	/** When it is asked for again, on the core's clock. */
	readonly retryAt: number;
	readonly attempts: number;
};

export type HoldsState = {
	/** By hold. */
	readonly releases: Table<string, Release>;
};

export const initialHolds: HoldsState = {releases: Table()};
