/** Settings of the console: one JSON file, or the options that stand for its fields. */
import {z} from 'zod';
import {parseAddress} from '../protocol/address.js';
import {type Source} from './source.js';

/** Bytes of one post; a packed document of the largest size twice, and fields. */
const defaultBodyLimit = 6_000_000;

export const settingsSchema = z.strictObject({
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
