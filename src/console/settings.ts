/** Settings of the console, from a JSON file or from command-line options. */
import {z} from 'zod';
import {parseAddress} from '../protocol/address.js';
import {type Source} from './source.js';

/** Leaves room for the packed base and the packed draft, both of the largest document size, and the fields of the form. */
const defaultBodyLimitBytes = 6_000_000;

export const settingsSchema = z.strictObject({
	/** Loopback by default; port 0 picks a free port. */
	listen: z.strictObject({
		host: z.string().min(1).default('127.0.0.1'),
		port: z.number().int().min(0).max(65_535).default(7080),
	}).readonly().default({host: '127.0.0.1', port: 7080}),
	/** `host:port` of the operators' listeners of hosts, from which the document in force is read. */
	admin: z.array(z.string()).readonly().default([]),
	/** File from which the document in force is read if `admin` is empty. */
	document: z.string().optional(),
	/** Accepted Host headers, with the port unless it is 80. The console's own address is always accepted. */
	names: z.array(z.string()).readonly().default([]),
	/** Largest request body in bytes. */
	bodyLimit: z.number().int().positive().default(defaultBodyLimitBytes),
}).readonly();

export type Settings = z.infer<typeof settingsSchema>;

/**
 * @param settings - Settings of the console.
 * @returns Where the document in force is read from: hosts first, then the file.
 * @throws Failure `badArgument` for an address that cannot be parsed.
 */
export function createSource({admin, document}: Settings): Source {
	if (admin.length > 0) {
		return {type: 'hosts', addresses: admin.map(text => parseAddress(text))};
	}

	return document === undefined ? {type: 'none'} : {type: 'file', path: document};
}
