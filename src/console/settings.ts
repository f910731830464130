/** Settings of the console: one JSON file, or the options that stand for its fields. */
import {readFile} from 'node:fs/promises';
import {z} from 'zod';
import {raise} from '../core/index.js';
import {parseAddress} from '../protocol/address.js';
import {type Source} from './source.js';

/** Bytes of one post; a packed document of the largest size twice, and fields. */
const defaultBodyLimit = 6_000_000;

const settingsSchema = z.strictObject({
	/** Loopback unless told otherwise; port 0 takes a free one. */
	listen: z.strictObject({
		host: z.string().min(1).default('127.0.0.1'),
		port: z.number().int().min(0).max(65_535).default(7080),
	}).readonly().default({host: '127.0.0.1', port: 7080}),
	/** `host:port` of hosts' operators' listeners, from which the document in force is read. */
	admin: z.array(z.string()).readonly().default([]),
	/** File to read it from where there are no such addresses. */
	document: z.string().optional(),
	/** Host headers by which browsers reach the console, with the port if it is not 80; its own address is always one. */
	names: z.array(z.string()).readonly().default([]),
	/** Largest body in bytes. */
	bodyLimit: z.number().int().positive().default(defaultBodyLimit),
}).readonly();

export type Settings = z.infer<typeof settingsSchema>;

/**
 * @param value - Parsed JSON.
 * @returns Valid settings.
 * @throws Failure `badSettings` that names each mistake with its path.
 */
export function parseSettings(value: unknown): Settings {
	const result = settingsSchema.safeParse(value);
	if (result.success) {
		return result.data;
	}

	const mistakes = result.error.issues.map(issue => `${issue.path.join('.') || '(root)'}: ${issue.message}`);
	return raise('badSettings', mistakes.join('; '));
}

/**
 * @param path - Settings file.
 * @returns Valid settings.
 * @throws Failure `unreadableSettings` or `badSettings`.
 */
export async function readSettings(path: string): Promise<Settings> {
	return parseSettings(parseJson(await readText(path), path));
}

/**
 * @param settings - Settings.
 * @returns Where the document in force is read from.
 * @throws Failure `badArgument`.
 */
export function sourceOf({admin, document}: Settings): Source {
	if (admin.length > 0) {
		return {type: 'hosts', addresses: admin.map(text => parseAddress(text))};
	}

	return document === undefined ? {type: 'none'} : {type: 'file', path: document};
}

async function readText(path: string): Promise<string> {
	try {
		return await readFile(path, 'utf8');
	} catch (error) {
		return raise('unreadableSettings', error instanceof Error ? error.message : path);
	}
}

function parseJson(text: string, path: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return raise('badSettings', `${path} is not JSON.`);
	}
}
