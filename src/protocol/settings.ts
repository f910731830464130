/** Reads and validates settings files in JSON. */
import {readFileSync} from 'node:fs';
import {type z} from 'zod';
import {messageOf, raise} from '../core/index.js';

/**
 * Validates settings.
 *
 * @param schema - Schema of the settings.
 * @param value - Parsed JSON.
 * @returns Valid settings.
 * @throws Failure `badSettings` that lists each mistake with its path.
 */
export function parseSettings<T>(schema: z.ZodType<T>, value: unknown): T {
	const result = schema.safeParse(value);
	if (result.success) {
		return result.data;
	}

	const mistakes = result.error.issues.map(issue => `${issue.path.join('.') || '(root)'}: ${issue.message}${describeFigure(value, issue.path)}`);
	return raise('badSettings', mistakes.join('; '));
}

/** Returns the value at a path, if it is no text, which may be a key: ", is 7.5". */
function describeFigure(root: unknown, path: readonly PropertyKey[]): string {
	let value = root;
	for (const key of path) {
		value = typeof value === 'object' && value !== null && Object.hasOwn(value, key) ? Reflect.get(value, key) : undefined;
	}

	if (typeof value === 'object' && value !== null && 'seconds' in value) {
		return describeFigure(value, ['seconds']);
	}

	return value === null || typeof value === 'number' || typeof value === 'boolean' ? `, is ${String(value)}` : '';
}

/**
 * Reads and validates a settings file.
 *
 * @param schema - Schema of the settings.
 * @param path - Settings file.
 * @returns Valid settings.
 * @throws Failure `unreadableSettings` or `badSettings`.
 */
export function readSettings<T>(schema: z.ZodType<T>, path: string): T {
	return parseSettings(schema, parseJson(readText(path), path));
}

function readText(path: string): string {
	try {
		return readFileSync(path, 'utf8');
	} catch (error) {
		return raise('unreadableSettings', messageOf(error));
	}
}

function parseJson(text: string, path: string): unknown {
	try {
		return JSON.parse(text);
	} catch (error) {
		return raise('badSettings', `${path}: ${messageOf(error)}`);
	}
}
