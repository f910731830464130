/** Helpers for numbers in messages and log lines. */

/**
 * @param value - Number.
 * @param digits - Decimal places to keep.
 * @returns The rounded number.
 */
export function roundTo(value: number, digits: number): number {
	return Number(value.toFixed(digits));
}

/**
 * @param value - Number.
 * @param digits - Decimal places to keep.
 * @returns The least such number that is not below the value.
 */
export function roundUpTo(value: number, digits: number): number {
	return Math.ceil(value * (10 ** digits)) / (10 ** digits);
}

/**
 * @param value - Number.
 * @param digits - Decimal places to keep.
 * @returns The greatest such number that is not above the value.
 */
export function roundDownTo(value: number, digits: number): number {
	return Math.floor(value * (10 ** digits)) / (10 ** digits);
}
