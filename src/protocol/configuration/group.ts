/**
 * Groups entries by a key.
 *
 * @param entries - Entries to group.
 * @param keyOf - Returns the key of an entry.
 * @returns The entries by key; groups and their entries are in the order of first appearance.
 */
export function groupBy<Entry, Key>(entries: readonly Entry[], keyOf: (entry: Entry) => Key): ReadonlyMap<Key, readonly Entry[]> {
	const groups = new Map<Key, Entry[]>();
	for (const entry of entries) {
		const key = keyOf(entry);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [entry]);
		} else {
			group.push(entry);
		}
	}

	return groups;
}
