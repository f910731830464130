/** Puts what the schema finds wrong into words for operators. */
import {type z} from 'zod';

type Issue = z.core.$ZodIssue;

const kinds: Readonly<Record<string, string>> = {
	string: 'text',
	number: 'a number',
	int: 'a whole number',
	boolean: 'true or false',
	array: 'a list',
	object: 'an object',
};

/**
 * @param issue - What the schema found.
 * @returns One sentence.
 */
export function issueInWords(issue: Issue): string {
	switch (issue.code) {
		case 'invalid_type': {
			const isMissing = issue.message.endsWith('received undefined');
			return `${isMissing ? 'This is missing' : 'This is not valid'}: ${kinds[issue.expected] ?? issue.expected} is expected.`;
		}

		case 'invalid_value': {
			return `One of these is expected: ${issue.values.map(String).join(', ')}.`;
		}

		case 'invalid_union': {
			return 'The kind is none of those known here.';
		}

		case 'too_small': {
			return `${measured(issue.origin)} must be ${issue.inclusive === true ? 'at least' : 'above'} ${issue.minimum}.`;
		}

		case 'too_big': {
			return `${measured(issue.origin)} must be ${issue.inclusive === true ? 'at most' : 'below'} ${issue.maximum}.`;
		}

		default: {
			return sentence(issue.message);
		}
	}
}

function measured(origin: string): string {
	return ['string', 'array'].includes(origin) ? 'The length' : 'The number';
}

/**
 * @param message - Message of a library.
 * @returns The message with a full stop.
 */
export function sentence(message: string): string {
	return message.endsWith('.') ? message : `${message}.`;
}
