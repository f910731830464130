/** Selects the headers of a message that are forwarded. */
import {hopByHopHeaders} from '../../protocol/hop-by-hop-headers.js';

/**
 * @param raw - Alternating names and values, as received.
 * @param dropped - Further names to remove, in lower case.
 * @returns The headers to forward, in the same order.
 */
export function filterEndToEndHeaders(raw: readonly string[], dropped: ReadonlySet<string>): string[] {
	const connectionNames = new Set<string>();
	for (let index = 0; index < raw.length; index += 2) {
		if (raw[index]!.toLowerCase() === 'connection') {
			for (const name of raw[index + 1]!.split(',')) {
				connectionNames.add(name.trim().toLowerCase());
			}
		}
	}

	const kept: string[] = [];
	for (let index = 0; index < raw.length; index += 2) {
		const name = raw[index]!.toLowerCase();
		if (!hopByHopHeaders.has(name) && !connectionNames.has(name) && !dropped.has(name)) {
			kept.push(raw[index]!, raw[index + 1]!);
		}
	}

	return kept;
}
