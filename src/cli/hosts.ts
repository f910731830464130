/** Addresses of hosts, from `--hosts` or from the JSON settings of the command line. */
import {z} from 'zod';
import {raise, type Address} from '../core/index.js';
import {parseAddress} from '../protocol/address.js';
import {readText} from './input.js';
import {type Terminal} from './terminal.js';

/** Environment variable that names the settings file. */
export const settingsVariable = 'CRANBERRYTIDE_SETTINGS';

/** Settings of the command line; every address is `host:port`. */
const settingsSchema = z.strictObject({
	/** Listeners for operators. */
	admin: z.array(z.string()).readonly().default([]),
	/** Listeners for callers. */
	callers: z.array(z.string()).readonly().default([]),
}).readonly();

/** What a command was told about where the hosts are. */
export type HostSource = {
	readonly hosts?: string;
	readonly settings?: string;
};

type Listener = keyof z.infer<typeof settingsSchema>;

/**
 * @param terminal - Environment and standard input.
 * @param source - What the command was told.
 * @param listener - Which addresses of the settings count.
 * @returns At least one address.
 * @throws Failure `badArgument`, `unreadableFile` or `badSettings`.
 */
export async function readHosts(terminal: Terminal, source: HostSource, listener: Listener): Promise<readonly Address[]> {
	const texts = source.hosts === undefined
		? await hostsOfSettings(terminal, source.settings, listener)
		: source.hosts.split(',').map(each => each.trim()).filter(each => each !== '');
	return texts.length === 0
		? raise('badArgument', `No hosts: give --hosts host:port,… or "${listener}" in the settings.`)
		: texts.map(text => parseAddress(text));
}

async function hostsOfSettings(terminal: Terminal, file: string | undefined, listener: Listener): Promise<readonly string[]> {
	const path = file ?? terminal.environment[settingsVariable];
	if (path === undefined) {
		return [];
	}

	const result = settingsSchema.safeParse(parseJson(await readText(terminal, path), path));
	if (result.success) {
		return result.data[listener];
	}

	const mistakes = result.error.issues.map(issue => `${issue.path.join('.') || '(root)'}: ${issue.message}`);
	return raise('badSettings', `${path}: ${mistakes.join('; ')}`);
}

function parseJson(text: string, path: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return raise('badSettings', `${path} is not JSON.`);
	}
}
