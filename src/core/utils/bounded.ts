/** Keeps tables of learnt values small. */
import {type Map as Table} from 'immutable';

/** A full table loses this part of its entries at once, so that it is seldom searched. */
const evictedShare = 0.25;

/**
 * @param table - Table that may have grown too large.
 * @param limit - Entries it may have.
 * @param ageOf - Time of last use; the smallest go first.
 * @returns The table itself, or one without its oldest quarter.
 */
export function trim<T>(table: Table<string, T>, limit: number, ageOf: (value: T) => number): Table<string, T> {
	if (table.size <= limit) {
		return table;
	}

	const oldest = [...table.entries()]
		.toSorted(([, a], [, b]) => ageOf(a) - ageOf(b))
		.slice(0, Math.ceil(table.size * evictedShare));
	return table.deleteAll(oldest.map(([key]) => key));
}
