/** Formats plain-text tables. */

const columnGap = '  ';

/**
 * @param headers - Column headers.
 * @param rows - Cells, one for each header.
 * @returns Lines with aligned columns; columns of numbers are right-aligned.
 */
export function formatTable(headers: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): readonly string[] {
	const columns = headers.map((header, column) => ({
		width: Math.max(header.length, ...rows.map(row => String(row[column]).length)),
		isNumeric: rows.some(row => typeof row[column] === 'number') && rows.every(row => typeof row[column] === 'number' || row[column] === ''),
	}));
	return [headers, ...rows].map(row => columns
		.map(({width, isNumeric}, column) => {
			const cell = String(row[column] ?? '');
			return isNumeric ? cell.padStart(width) : cell.padEnd(width);
		})
		.join(columnGap)
		.trimEnd());
}
