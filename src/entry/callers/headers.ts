/** Parses and validates the headers of caller requests. */
import {type IncomingMessage} from 'node:http';
import {
	raise,
	type Configuration,
	type Organisation,
	type Proof,
	type Service,
} from '../../core/index.js';
import {callerHeaders as protocolHeaders} from '../../protocol/callers.js';
import {verifyTicket} from '../../protocol/token.js';
import {type Directory} from './directory.js';

/** Headers that callers send, and headers that a host adds when it forwards a request. */
export const callerHeaders = {
	...protocolHeaders,
	/** Id of the forwarding host. */
	forwardedBy: 'x-forwarded-by',
	/** Failure domain of the forwarding host, if it spilled the request. */
	spilledFrom: 'x-spilled-from',
	/** Number of hosts that have forwarded the request. */
	hops: 'x-forwarded-hops',
} as const;

const maxKeyLength = 255;
const lowestPriority = 9;
const bearerPattern = /^bearer\s+(\S+)$/iv;

/**
 * @param headers - Headers of a request.
 * @param name - Name in lower case.
 * @returns The value, or undefined if the header is missing, empty or a list.
 */
export function getHeader(headers: IncomingMessage['headers'], name: string): string | undefined {
	const value = headers[name];
	return typeof value === 'string' && value !== '' ? value : undefined;
}

/**
 * @param headers - Headers of a request.
 * @param directory - Index of organisations.
 * @param configuration - Configuration in force.
 * @returns The organisation that the API key in the `authorization` header belongs to.
 * @throws Failure `unknownKey`.
 */
export function findOrganisation(headers: IncomingMessage['headers'], directory: Directory, configuration: Configuration): Organisation {
	const key = bearerPattern.exec(getHeader(headers, 'authorization') ?? '')?.[1];
	const organisation = key === undefined ? undefined : directory.findOrganisation(configuration, key);
	return organisation ?? raise('unknownKey');
}

function readInteger(headers: IncomingMessage['headers'], name: string, min: number, max: number): number | undefined {
	const text = getHeader(headers, name);
	if (text === undefined) {
		return undefined;
	}

	const value = Number(text);
	return Number.isInteger(value) && value >= min && value <= max
		? value
		: raise('badHeader', `${name} takes a whole number from ${min} to ${max}.`);
}

/**
 * @param headers - Headers of a request.
 * @param service - Requested service.
 * @returns Timeout in milliseconds: the requested one up to the service's maximum, or the service's default.
 * @throws Failure `badHeader`.
 */
export function readTimeout(headers: IncomingMessage['headers'], service: Service): number {
	const requested = readInteger(headers, callerHeaders.timeout, 1, Number.MAX_SAFE_INTEGER);
	return Math.min(requested ?? service.deadline.default, service.deadline.most);
}

/**
 * @param headers - Headers of a request.
 * @param organisation - Organisation that sent it.
 * @returns Priority, 0 the most urgent; never more urgent than the organisation's.
 * @throws Failure `badHeader`.
 */
export function readPriority(headers: IncomingMessage['headers'], organisation: Organisation): number {
	const requested = readInteger(headers, callerHeaders.priority, 0, lowestPriority);
	return Math.max(requested ?? 0, organisation.priority);
}

/**
 * @param headers - Headers of a request.
 * @returns Number of prompt tokens stated by the caller, if any.
 * @throws Failure `badHeader`.
 */
export function readPromptTokens(headers: IncomingMessage['headers']): number | undefined {
	return readInteger(headers, callerHeaders.promptTokens, 1, 10_000_000);
}

/**
 * @param headers - Headers of a request.
 * @returns Number of hosts that have forwarded the request; undefined if it comes directly from a caller.
 * @throws Failure `badHeader`.
 */
export function readHopCount(headers: IncomingMessage['headers']): number | undefined {
	return readInteger(headers, callerHeaders.hops, 1, 255);
}

function readIdempotent(headers: IncomingMessage['headers'], service: Service, method: string): boolean {
	const text = getHeader(headers, callerHeaders.idempotent);
	switch (text) {
		case undefined: {
			return service.idempotent || method === 'GET' || method === 'HEAD';
		}

		case 'true': {
			return true;
		}

		case 'false': {
			return false;
		}

		default: {
			return raise('badHeader', `${callerHeaders.idempotent} takes true or false.`);
		}
	}
}

/** Parts of a request that determine its proof. */
export type ProofSource = {
	readonly headers: IncomingMessage['headers'];
	readonly method: string;
	readonly service: Service;
	/** Contains the keys that tickets are signed with. */
	readonly configuration: Configuration;
	/** Milliseconds since 1970. */
	readonly wall: number;
};

/**
 * @param source - Parts of the request.
 * @returns The caller's ticket or idempotency key, or else whether the request is idempotent.
 * @throws Failure `badHeader`, `badTicket` or `expiredTicket`.
 */
export function readProof(source: ProofSource): Proof {
	const {headers, method, service, configuration, wall} = source;
	const token = getHeader(headers, callerHeaders.ticket);
	if (token !== undefined) {
		return {type: 'ticket', ticket: readTicket(token, configuration, wall)};
	}

	const key = getHeader(headers, callerHeaders.key);
	if (key !== undefined) {
		return key.length <= maxKeyLength ? {type: 'key', key} : raise('badHeader', `${callerHeaders.key} is too long.`);
	}

	return readIdempotent(headers, service, method) ? {type: 'idempotent'} : {type: 'none'};
}

function readTicket(token: string, configuration: Configuration, wall: number) {
	const result = verifyTicket(configuration.tokenKeys, token, wall);
	switch (result.type) {
		case 'valid': {
			return result.value;
		}

		case 'expired': {
			return raise('expiredTicket');
		}

		case 'bad': {
			return raise('badTicket');
		}

		default: {
			return raise('internal');
		}
	}
}
