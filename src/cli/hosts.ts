/** Reads the addresses of hosts from `--hosts` or from the JSON settings of the command line. */
import {z} from 'zod';
import {raise, type Address} from '../core/index.js';
import {parseAddress} from '../protocol/address.js';
import {readText} from './input.js';
import {type Terminal} from './terminal.js';

/** Environment variable that names the settings file. */
export const settingsVariable = 'CRANBERRYTIDE_SETTINGS';

/** Settings of the command line; every address is `host:port`. */
const settingsSchema = z.strictObject({
	/** Admin listeners. */
	admin: z.array(z.string()).readonly().default([]),
	/** Listeners that accept requests of callers. */
	callers: z.array(z.string()).readonly().default([]),
}).readonly();

/** Options of a command that say where the hosts are. */
export type HostOptions = {
	readonly hosts?: string;
	readonly settings?: string;
};

type Listener = keyof z.infer<typeof settingsSchema>;

/**
 * @param terminal - Provides the environment and standard input.
 * @param options - `--hosts` takes precedence over the settings.
 * @param listener - Listener whose addresses are read from the settings.
 * @returns At least one address.
 * @throws Failure `badArgument`, `unreadableFile` or `badSettings`.
 */
export async function readHostAddresses(terminal: Terminal, options: HostOptions, listener: Listener): Promise<readonly Address[]> {
	const texts = options.hosts === undefined
		? await readAddressesFromSettings(terminal, options.settings, listener)
		: options.hosts.split(',').map(each => each.trim()).filter(each => each !== '');
	return texts.length === 0
		? raise('badArgument', `No hosts: pass --hosts host:port,… or set "${listener}" in the settings.`)
		: texts.map(text => parseAddress(text));
}

async function readAddressesFromSettings(terminal: Terminal, file: string | undefined, listener: Listener): Promise<readonly string[]> {
	const path = file ?? terminal.environment[settingsVariable];
	if (path === undefined) {
		return [];
	}

	const result = settingsSchema.safeParse(parseJson(await readText(terminal, path), path));
	if (result.success) {
		return result.data[listener];
	}

	const issues = result.error.issues.map(issue => `${issue.path.join('.') || '(root)'}: ${issue.message}`);
	return raise('badSettings', `${path}: ${issues.join('; ')}`);
}

function parseJson(text: string, path: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return raise('badSettings', `${path} is not JSON.`);
	}
}
