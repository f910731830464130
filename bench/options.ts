/** Parsers for values of command-line options. */
import {InvalidArgumentError} from 'commander';

/**
 * Parses an option that must be a positive integer.
 *
 * @throws InvalidArgumentError if it is anything else.
 */
export function parsePositiveInteger(text: string): number {
	const value = Number(text);
	if (!Number.isInteger(value) || value < 1) {
		throw new InvalidArgumentError('must be a positive integer');
	}

	return value;
}
