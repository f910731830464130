/** Positions in the history of the platform's store, which may return from a backup and then assign revisions again. */

export type StorePosition = {
	/** Rises each time the store returns from a backup; 0 if the store doesn't report it. */
	readonly era: number;
	readonly revision: number;
};

/** Position of a host that knows nothing of the store yet. */
export const noPosition: StorePosition = {era: 0, revision: 0};

/**
 * @returns Whether position `a` is later than `b`. A later era comes first, whatever the revisions.
 */
export function isAfter(a: StorePosition, b: StorePosition): boolean {
	return a.era === b.era ? a.revision > b.revision : a.era > b.era;
}
