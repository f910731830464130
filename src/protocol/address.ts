/** Addresses as people write them. */
import {raise, type Address} from '../core/index.js';

const pattern = /^(?:\[(?<version6>[\da-f:.]+)\]|(?<name>[\w.\-]+)):(?<port>\d{1,5})$/iv;
const highestPort = 65_535;

/**
 * @param text - `host:port`, an IPv6 address in brackets.
 * @returns The address.
 * @throws Failure `badArgument`.
 */
export function parseAddress(text: string): Address {
	const parts = pattern.exec(text)?.groups;
	const host = parts?.version6 ?? parts?.name;
	const port = Number(parts?.port);
	return host === undefined || !(port > 0 && port <= highestPort)
		? raise('badArgument', `"${text}" is not host:port.`)
		: {host, port};
}

/**
 * @param address - Address.
 * @returns `host:port`, an IPv6 address in brackets.
 */
export function formatAddress({host, port}: Address): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
