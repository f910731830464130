/** Plain-text tables. */

const gap = '  ';

/**
 * @param heads - Column heads.
 * @param rows - Cells, as many in each row as there are heads.
 * @returns Lines with aligned columns; numbers stand to the right.
 */
export function formatTable(heads: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): readonly string[] {
	const columns = heads.map((head, column) => ({
		width: Math.max(head.length, ...rows.map(row => String(row[column]).length)),
		isNumeric: rows.some(row => typeof row[column] === 'number') && rows.every(row => typeof row[column] === 'number' || row[column] === ''),
	}));
	return [heads, ...rows].map(row => columns
		.map(({width, isNumeric}, column) => {
			const cell = String(row[column] ?? '');
			return isNumeric ? cell.padStart(width) : cell.padEnd(width);
		})
		.join(gap)
		.trimEnd());
}
