/** Which headers of a message are passed on. */
import {perConnectionHeaders} from '../protocol/per-connection.js';

/**
 * @param raw - Names and values in turn, as they were sent.
 * @param dropped - Names in lower case to leave out as well.
 * @returns What may be passed on, in the same order.
 */
export function endToEnd(raw: readonly string[], dropped: ReadonlySet<string>): string[] {
	const named = new Set<string>();
	for (let index = 0; index < raw.length; index += 2) {
		if (raw[index]!.toLowerCase() === 'connection') {
			for (const name of raw[index + 1]!.split(',')) {
				named.add(name.trim().toLowerCase());
			}
		}
	}

	const kept: string[] = [];
	for (let index = 0; index < raw.length; index += 2) {
		const name = raw[index]!.toLowerCase();
		if (!perConnectionHeaders.has(name) && !named.has(name) && !dropped.has(name)) {
			kept.push(raw[index]!, raw[index + 1]!);
		}
	}

	return kept;
}
