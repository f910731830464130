/** Helpers for numbers in messages and log lines. */

/**
 * @param value - Number.
 * @param digits - Decimal places to keep.
 * @returns The rounded number.
 */
export function roundTo(value: number, digits: number): number {
	return Number(value.toFixed(digits));
}
