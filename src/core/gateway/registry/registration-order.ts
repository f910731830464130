/** Determines which of two registrations of one upstream was written later, whatever the store's revisions. */
import {type GatewayUpstream} from '../types.js';

/**
 * Orders registrations by the start of the process, then by the number of its writes.
 *
 * @returns Negative if `a` was written before `b`, positive if after it, 0 if they are the same write, and undefined if it is unknown.
 */
function compareRegistrations(a: GatewayUpstream, b: GatewayUpstream): number | undefined {
	if (a.started === undefined || b.started === undefined) {
		return undefined;
	}

	if (a.started !== b.started) {
		return a.started - b.started;
	}

	return a.sequence === undefined || b.sequence === undefined ? undefined : a.sequence - b.sequence;
}

/**
 * @returns Whether registration `a` was certainly written by a later start of the process than `b`.
 */
export function isLaterStart(a: GatewayUpstream, b: GatewayUpstream): boolean {
	return a.started !== undefined && b.started !== undefined && a.started > b.started;
}

/** The listing of the store that a registration stands in. */
export type Listing = {
	readonly era: number;
	/** Whether the store has returned from a backup since the known registration was read. */
	readonly isNewEra: boolean;
};

/**
 * @param listed - Registration in a listing of the store.
 * @param known - Registration of the same upstream that is known already.
 * @param listing - The listing.
 * @returns Whether the listed one must not replace the known one. Unless it was written later, an upstream that drains keeps draining
 * until it restarts.
 */
export function isOutdatedRegistration(listed: GatewayUpstream, known: GatewayUpstream, {era, isNewEra}: Listing): boolean {
	// What was written in this era and is listed at a later position is what the store has.
	if (listed.era === era) {
		return false;
	}

	const order = compareRegistrations(listed, known);
	if (order !== undefined && order !== 0) {
		return order < 0;
	}

	const isSameStart = known.started !== undefined && known.started === listed.started;
	return known.isDraining && !listed.isDraining && (isNewEra || isSameStart);
}
