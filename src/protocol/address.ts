/** Parses and formats addresses in the form `host:port`. */
import {raise, type Address} from '../core/index.js';

const addressPattern = /^(?:\[(?<version6>[\da-f:.]+)\]|(?<name>[\w.\-]+)):(?<port>\d{1,5})$/iv;
const maxPort = 65_535;

/**
 * Parses an address.
 *
 * @param text - `host:port`, with an IPv6 address in brackets.
 * @returns The address.
 * @throws Failure `badArgument` if the text has another form or the port is out of range.
 */
export function parseAddress(text: string): Address {
	const groups = addressPattern.exec(text)?.groups;
	const host = groups?.version6 ?? groups?.name;
	const port = Number(groups?.port);
	return host === undefined || !(port > 0 && port <= maxPort)
		? raise('badArgument', `"${text}" is not host:port.`)
		: {host, port};
}

/**
 * @param address - Address to format.
 * @returns `host:port`, with an IPv6 address in brackets.
 */
export function formatAddress({host, port}: Address): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
