/** Reads what callers say in headers. */
import {type IncomingMessage} from 'node:http';
import {
	raise,
	type Configuration,
	type Organisation,
	type Proof,
	type Service,
} from '../../core/index.js';
import {callerHeaders as sentByCallers} from '../../protocol/callers.js';
import {verifyTicket} from '../../protocol/token.js';
import {type Directory} from './directory.js';

/** Headers that callers send, and those that a host adds when it passes a request on. */
export const callerHeaders = {
	...sentByCallers,
	/** Set by a host that passes a request on. */
	forwardedBy: 'x-forwarded-by',
	spilledFrom: 'x-spilled-from',
	/** How many hosts have passed it on. */
	hops: 'x-forwarded-hops',
} as const;

const longestKey = 255;
const lowestPriority = 9;
const bearer = /^bearer\s+(\S+)$/iv;

/**
 * @param headers - Headers of a request.
 * @param name - Header.
 * @returns Its value, if it was sent once.
 */
export function header(headers: IncomingMessage['headers'], name: string): string | undefined {
	const value = headers[name];
	return typeof value === 'string' && value !== '' ? value : undefined;
}

/**
 * @param headers - Headers of a request.
 * @param directory - Finds organisations.
 * @param configuration - Configuration in force.
 * @returns The organisation whose key was sent.
 * @throws Failure `unknownKey`.
 */
export function readOrganisation(headers: IncomingMessage['headers'], directory: Directory, configuration: Configuration): Organisation {
	const key = bearer.exec(header(headers, 'authorization') ?? '')?.[1];
	const organisation = key === undefined ? undefined : directory.organisation(configuration, key);
	return organisation ?? raise('unknownKey');
}

function readWhole(headers: IncomingMessage['headers'], name: string, least: number, most: number): number | undefined {
	const text = header(headers, name);
	if (text === undefined) {
		return undefined;
	}

	const value = Number(text);
	return Number.isInteger(value) && value >= least && value <= most
		? value
		: raise('badHeader', `${name} takes a whole number from ${least} to ${most}.`);
}

/**
 * @param headers - Headers of a request.
 * @param service - Service asked for.
 * @returns Milliseconds that the request may take.
 * @throws Failure `badHeader`.
 */
export function readTimeout(headers: IncomingMessage['headers'], service: Service): number {
	const asked = readWhole(headers, callerHeaders.timeout, 1, Number.MAX_SAFE_INTEGER);
	return Math.min(asked ?? service.deadline.default, service.deadline.most);
}

/**
 * @param headers - Headers of a request.
 * @param organisation - Organisation that sent it.
 * @returns Priority, never more urgent than the organisation's.
 * @throws Failure `badHeader`.
 */
export function readPriority(headers: IncomingMessage['headers'], organisation: Organisation): number {
	const asked = readWhole(headers, callerHeaders.priority, 0, lowestPriority);
	return Math.max(asked ?? 0, organisation.priority);
}

/**
 * @param headers - Headers of a request.
 * @returns Number of prompt tokens the caller states.
 * @throws Failure `badHeader`.
 */
export function readPromptTokens(headers: IncomingMessage['headers']): number | undefined {
	return readWhole(headers, callerHeaders.promptTokens, 1, 10_000_000);
}

/**
 * @param headers - Headers of a request.
 * @returns How many hosts have passed it on.
 * @throws Failure `badHeader`.
 */
export function readHops(headers: IncomingMessage['headers']): number | undefined {
	return readWhole(headers, callerHeaders.hops, 1, 255);
}

function readIdempotent(headers: IncomingMessage['headers'], service: Service, method: string): boolean {
	const text = header(headers, callerHeaders.idempotent);
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

/** What a proof is read from. */
export type Evidence = {
	readonly headers: IncomingMessage['headers'];
	readonly method: string;
	readonly service: Service;
	/** Holds the keys of tickets. */
	readonly configuration: Configuration;
	/** Milliseconds since 1970. */
	readonly wall: number;
};

/**
 * @param evidence - What the caller sent.
 * @returns What the caller showed of its right to run the request.
 * @throws Failure `badHeader`, `badTicket` or `expiredTicket`.
 */
export function readProof(evidence: Evidence): Proof {
	const {headers, method, service, configuration, wall} = evidence;
	const token = header(headers, callerHeaders.ticket);
	if (token !== undefined) {
		return {type: 'ticket', ticket: readTicket(token, configuration, wall)};
	}

	const key = header(headers, callerHeaders.key);
	if (key !== undefined) {
		return key.length <= longestKey ? {type: 'key', key} : raise('badHeader', `${callerHeaders.key} is too long.`);
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
