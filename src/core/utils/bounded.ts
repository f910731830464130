/** Bounds the size of tables. */
import {type Map as Table} from 'immutable';

/** Share of the entries that a full table loses at once, so that it is rarely searched for the oldest. */
const evictedShare = 0.25;

/**
 * Removes the oldest quarter of a table that exceeds its limit.
 *
 * @param table - Table.
 * @param limit - Entries it may have at most.
 * @param ageOf - Returns the time of last use of a value; the smallest are removed first.
 * @returns The table itself, or one without its oldest quarter.
 */
export function removeOldest<T>(table: Table<string, T>, limit: number, ageOf: (value: T) => number): Table<string, T> {
	if (table.size <= limit) {
		return table;
	}

	const oldest = [...table.entries()]
		.toSorted(([, a], [, b]) => ageOf(a) - ageOf(b))
		.slice(0, Math.ceil(table.size * evictedShare));
	return table.deleteAll(oldest.map(([key]) => key));
}

/**
 * Removes the entry that was added first if a map has grown too large.
 *
 * @param map - Map to which one entry was added.
 * @param maxSize - Largest number of entries.
 */
export function dropOldest(map: Map<string, unknown>, maxSize: number): void {
	if (map.size > maxSize) {
		const [oldest] = map.keys();
		map.delete(oldest!);
	}
}
