/** Signs and verifies the tokens that callers send back: tickets and stream positions. The configuration holds the keys. */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';
import {raise, type Ticket, type TokenKey} from '../core/index.js';

/** Result of verifying a token; a bad token yields no details. */
export type TokenVerification<T>
	= | {readonly type: 'valid'; readonly value: T}
		| {readonly type: 'bad'}
		| {readonly type: 'expired'};

/** Identifies the stream of one attempt, which only one organisation may read. */
export type StreamToken = {
	readonly service: string;
	readonly organisation: string;
	readonly upstream: string;
	readonly attempt: string;
	/** Wall-clock time in milliseconds since 1970. */
	readonly expires: number;
};

/** A position in a stream; the offset is that of the next frame to send. */
export type StreamPosition = StreamToken & {readonly offset: number};

const maxTokenLength = 2048;
const offsetSeparator = ':';

const ticketSchema = z.object({
	keeper: z.object({host: z.string(), started: z.number()}).readonly(),
	failureDomain: z.string(),
	address: z.object({host: z.string(), port: z.number().int()}).readonly(),
	sequence: z.number().int().nonnegative(),
	organisation: z.string(),
	expires: z.number(),
}).readonly();

const streamSchema = z.object({
	service: z.string(),
	organisation: z.string(),
	upstream: z.string(),
	attempt: z.string(),
	expires: z.number(),
}).readonly();

type TokenKind = 'ticket' | 'stream';

/** The signature covers the kind, so that a token of one kind is not accepted as another. */
function computeSignature(key: TokenKey, kind: TokenKind, payload: string): Uint8Array {
	return createHmac('sha256', Buffer.from(key.secret, 'hex')).update(`${kind}.${payload}`).digest();
}

function sign(keys: readonly TokenKey[], kind: TokenKind, value: unknown): string {
	const signingKey = keys[0] ?? raise('notConfigured', 'there is no token key');
	const payload = Buffer.from(JSON.stringify(value)).toString('base64url');
	return `${payload}.${Buffer.from(computeSignature(signingKey, kind, payload)).toString('base64url')}`;
}

function hasValidSignature(keys: readonly TokenKey[], kind: TokenKind, payload: string, actual: Uint8Array): boolean {
	return keys.some(key => {
		const expected = computeSignature(key, kind, payload);
		return expected.length === actual.length && timingSafeEqual(expected, actual);
	});
}

/** Returns the signed value, or undefined if the token is malformed or no key verifies it. */
function readSignedValue(keys: readonly TokenKey[], kind: TokenKind, token: string): unknown {
	const [payload, encodedSignature, ...rest] = token.split('.');
	if (token.length > maxTokenLength || payload === undefined || encodedSignature === undefined || rest.length > 0) {
		return undefined;
	}

	return hasValidSignature(keys, kind, payload, Buffer.from(encodedSignature, 'base64url'))
		? JSON.parse(Buffer.from(payload, 'base64url').toString())
		: undefined;
}

function validate<T extends {readonly expires: number}>(schema: z.ZodType<T>, value: unknown, wall: number): TokenVerification<T> {
	const parsed = schema.safeParse(value);
	if (!parsed.success) {
		return {type: 'bad'};
	}

	return parsed.data.expires <= wall ? {type: 'expired'} : {type: 'valid', value: parsed.data};
}

/**
 * Signs a ticket.
 *
 * @param keys - Keys of the configuration; the first one signs.
 * @param ticket - Ticket to issue.
 * @returns The value of the ticket header.
 */
export function signTicket(keys: readonly TokenKey[], ticket: Ticket): string {
	return sign(keys, 'ticket', ticket);
}

/**
 * Verifies a ticket.
 *
 * @param keys - Keys of the configuration; any of them may have signed.
 * @param token - Ticket header that the caller sent.
 * @param wall - Wall-clock time in milliseconds since 1970.
 * @returns The ticket, or why it is not valid.
 */
export function verifyTicket(keys: readonly TokenKey[], token: string, wall: number): TokenVerification<Ticket> {
	return validate(ticketSchema, readSignedValue(keys, 'ticket', token), wall);
}

/**
 * Signs a stream once, so that frames need no HMAC of their own. The signature does not cover the offset: a caller that
 * changes it only reads its own stream from another position.
 *
 * @param keys - Keys of the configuration; the first one signs.
 * @param stream - Stream of one attempt.
 * @returns Token that {@link formatPosition} combines with the offset of each frame.
 */
export function signStream(keys: readonly TokenKey[], stream: StreamToken): string {
	return sign(keys, 'stream', stream);
}

/**
 * Formats a stream position.
 *
 * @param token - Signed stream.
 * @param offset - Offset of the next frame to send.
 * @returns The position as an event id.
 */
export function formatPosition(token: string, offset: number): string {
	return `${token}${offsetSeparator}${offset}`;
}

/**
 * Verifies a stream position.
 *
 * @param keys - Keys of the configuration; any of them may have signed.
 * @param position - Event id that a caller sent back.
 * @param wall - Wall-clock time in milliseconds since 1970.
 * @returns The stream position, or why it is not valid.
 */
export function verifyPosition(keys: readonly TokenKey[], position: string, wall: number): TokenVerification<StreamPosition> {
	const [token, offsetText, ...rest] = position.split(offsetSeparator);
	if (token === undefined || offsetText === undefined || rest.length > 0 || !/^\d{1,12}$/v.test(offsetText)) {
		return {type: 'bad'};
	}

	const verification = validate(streamSchema, readSignedValue(keys, 'stream', token), wall);
	return verification.type === 'valid' ? {type: 'valid', value: {...verification.value, offset: Number(offsetText)}} : verification;
}
