/** Values of command-line options that several programs here take. */
import {InvalidArgumentError} from 'commander';

/**
 * @param text - What was given.
 * @returns A whole number above 0.
 * @throws InvalidArgumentError for anything else.
 */
export function wholeNumber(text: string): number {
	const value = Number(text);
	if (!Number.isInteger(value) || value < 1) {
		throw new InvalidArgumentError('a whole number above 0 is wanted');
	}

	return value;
}
