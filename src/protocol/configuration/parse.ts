/** Reads a configuration document: size, JSON, shape, references, capacities. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {configurationSchema} from '../../core/index.js';
import {capacityMistakes} from './capacities.js';
import {issueInWords, sentence} from './issue.js';
import {formatPath} from './path.js';
import {referenceMistakes} from './references.js';
import {
	documentLimit,
	mistakeLimit,
	type Invalid,
	type Mistake,
	type Parsed,
} from './types.js';

/**
 * Never throws: whatever the text, the answer is a configuration or a list of coded mistakes.
 *
 * @param text - The document as it was published.
 * @param limitBytes - The most bytes of UTF-8 that are taken.
 * @returns The configuration with its digest, or every mistake found.
 */
export function parseConfiguration(text: string, limitBytes = documentLimit): Parsed {
	const size = Buffer.byteLength(text, 'utf8');
	if (size > limitBytes) {
		return invalid([{path: '$', code: 'documentTooLarge', text: `The document has ${size} bytes; at most ${limitBytes} are taken.`}]);
	}

	const raw = readJson(text);
	if (raw.type === 'broken') {
		return invalid([{path: '$', code: 'badDocument', text: `This is not JSON: ${raw.reason}`}]);
	}

	return parseValue(raw.value, text);
}

function parseValue(raw: unknown, text: string): Parsed {
	const shaped = configurationSchema.safeParse(raw);
	if (!shaped.success) {
		return invalid(shaped.error.issues.map(issue => ({
			path: formatPath(issue.path), code: 'badDocument', text: issueInWords(issue),
		})));
	}

	const configuration = shaped.data;
	const mistakes = [...referenceMistakes(configuration), ...capacityMistakes(configuration)];
	if (mistakes.length > 0) {
		return invalid(mistakes);
	}

	return {
		type: 'valid',
		configuration,
		digest: digestOf(text),
		unknownFields: unknownFields(raw, configuration, []).slice(0, mistakeLimit),
	};
}

/**
 * @param text - The document as it was published.
 * @returns SHA-256 of the text in UTF-8, in lower-case hexadecimal.
 */
export function digestOf(text: string): string {
	return createHash('sha256').update(text, 'utf8').digest('hex');
}

type Json
	= | {readonly type: 'value'; readonly value: unknown}
		| {readonly type: 'broken'; readonly reason: string};

function readJson(text: string): Json {
	try {
		return {type: 'value', value: JSON.parse(text) as unknown};
	} catch (error) {
		return {type: 'broken', reason: sentence(error instanceof Error ? error.message : 'unreadable')};
	}
}

function invalid(mistakes: readonly Mistake[]): Invalid {
	return {
		type: 'invalid',
		mistakes: mistakes.slice(0, mistakeLimit),
		further: Math.max(mistakes.length - mistakeLimit, 0),
	};
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null;
}

function unknownFields(raw: unknown, taken: unknown, path: readonly PropertyKey[]): readonly string[] {
	if (!isObject(raw) || !isObject(taken)) {
		return [];
	}

	const isList = Array.isArray(raw);
	return Object.keys(raw).flatMap(key => {
		const below = [...path, isList ? Number(key) : key];
		return Object.hasOwn(taken, key) ? unknownFields(raw[key], taken[key], below) : [formatPath(below)];
	});
}
