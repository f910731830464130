/** Describes schema violations for operators. */
import {type z} from 'zod';

type Issue = z.core.$ZodIssue;

const expectedTypeNames: Readonly<Record<string, string>> = {
	string: 'text',
	number: 'a number',
	int: 'a whole number',
	boolean: 'true or false',
	array: 'a list',
	object: 'an object',
};

/**
 * @param issue - Issue that the schema reports.
 * @returns One sentence.
 */
export function describeIssue(issue: Issue): string {
	switch (issue.code) {
		case 'invalid_type': {
			const isMissing = issue.message.endsWith('received undefined');
			return `${isMissing ? 'This is missing' : 'This is not valid'}: ${expectedTypeNames[issue.expected] ?? issue.expected} is expected.`;
		}

		case 'invalid_value': {
			return `One of these is expected: ${issue.values.map(String).join(', ')}.`;
		}

		case 'invalid_union': {
			return 'The kind is unknown.';
		}

		case 'too_small': {
			return `${describeQuantity(issue.origin)} must be ${issue.inclusive === true ? 'at least' : 'above'} ${issue.minimum}.`;
		}

		case 'too_big': {
			return `${describeQuantity(issue.origin)} must be ${issue.inclusive === true ? 'at most' : 'below'} ${issue.maximum}.`;
		}

		default: {
			return endWithFullStop(issue.message);
		}
	}
}

function describeQuantity(origin: string): string {
	return ['string', 'array'].includes(origin) ? 'The length' : 'The number';
}

/**
 * @param message - Message of a library, with or without a full stop.
 * @returns The message with a full stop.
 */
export function endWithFullStop(message: string): string {
	return message.endsWith('.') ? message : `${message}.`;
}
