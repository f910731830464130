/** Parses a configuration document and checks its size, JSON, schema, references and capacities. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {configurationSchema} from '../../core/index.js';
import {findCapacityMistakes} from './capacities.js';
import {describeIssue, endWithFullStop} from './issue.js';
import {formatPath} from './path.js';
import {findReferenceMistakes} from './references.js';
import {
	maxDocumentBytes,
	maxListedMistakes,
	type InvalidDocument,
	type Mistake,
	type ParseResult,
} from './types.js';

/**
 * Parses a configuration document. Never throws: for any text, the result is a configuration or a list of coded mistakes.
 *
 * @param text - The document as it was published.
 * @param maxBytes - Maximum size of the text as UTF-8, in bytes.
 * @returns The configuration with its digest, or the mistakes.
 */
export function parseConfiguration(text: string, maxBytes = maxDocumentBytes): ParseResult {
	const sizeBytes = Buffer.byteLength(text, 'utf8');
	if (sizeBytes > maxBytes) {
		return createInvalidResult([{path: '$', code: 'documentTooLarge', text: `The document has ${sizeBytes} bytes; at most ${maxBytes} are allowed.`}]);
	}

	const json = parseJson(text);
	if (json.type === 'broken') {
		return createInvalidResult([{path: '$', code: 'badDocument', text: `This is not JSON: ${json.reason}`}]);
	}

	return parseValue(json.value, text);
}

function parseValue(raw: unknown, text: string): ParseResult {
	const result = configurationSchema.safeParse(raw);
	if (!result.success) {
		return createInvalidResult(result.error.issues.map(issue => ({
			path: formatPath(issue.path), code: 'badDocument', text: describeIssue(issue),
		})));
	}

	const configuration = result.data;
	const mistakes = [...findReferenceMistakes(configuration), ...findCapacityMistakes(configuration)];
	if (mistakes.length > 0) {
		return createInvalidResult(mistakes);
	}

	return {
		type: 'valid',
		configuration,
		digest: computeDigest(text),
		unknownFields: findUnknownFields(raw, configuration, []).slice(0, maxListedMistakes),
	};
}

/**
 * @param text - The document as it was published.
 * @returns SHA-256 of the text in UTF-8, in lower-case hexadecimal.
 */
export function computeDigest(text: string): string {
	return createHash('sha256').update(text, 'utf8').digest('hex');
}

type JsonResult
	= | {readonly type: 'value'; readonly value: unknown}
		| {readonly type: 'broken'; readonly reason: string};

function parseJson(text: string): JsonResult {
	try {
		return {type: 'value', value: JSON.parse(text) as unknown};
	} catch (error) {
		return {type: 'broken', reason: endWithFullStop(error instanceof Error ? error.message : 'unreadable')};
	}
}

function createInvalidResult(mistakes: readonly Mistake[]): InvalidDocument {
	return {
		type: 'invalid',
		mistakes: mistakes.slice(0, maxListedMistakes),
		further: Math.max(mistakes.length - maxListedMistakes, 0),
	};
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null;
}

function findUnknownFields(raw: unknown, parsed: unknown, path: readonly PropertyKey[]): readonly string[] {
	if (!isObject(raw) || !isObject(parsed)) {
		return [];
	}

	const isList = Array.isArray(raw);
	return Object.keys(raw).flatMap(key => {
		const childPath = [...path, isList ? Number(key) : key];
		return Object.hasOwn(parsed, key) ? findUnknownFields(raw[key], parsed[key], childPath) : [formatPath(childPath)];
	});
}
