/** Tokens that callers carry for us: tickets and stream positions, signed with the keys of the configuration. */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';
import {raise, type Ticket, type TokenKey} from '../core/index.js';

/** What was read from a token; a bad one tells nothing about itself. */
export type Verdict<T>
	= | {readonly type: 'valid'; readonly value: T}
		| {readonly type: 'bad'}
		| {readonly type: 'expired'};

/** The stream of one attempt, readable by one organisation. */
export type StreamToken = {
	readonly service: string;
	readonly organisation: string;
	readonly upstream: string;
	readonly attempt: string;
	/** Wall-clock time in milliseconds since 1970. */
	readonly expires: number;
};

/** A place in a stream: the offset of the next frame that the caller lacks. */
export type StreamPosition = StreamToken & {readonly offset: number};

const maximumLength = 2048;
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

type Kind = 'ticket' | 'stream';

/** The kind is signed too, so that a token of one kind never passes for another. */
function signature(key: TokenKey, kind: Kind, payload: string): Uint8Array {
	return createHmac('sha256', Buffer.from(key.secret, 'hex')).update(`${kind}.${payload}`).digest();
}

function sign(keys: readonly TokenKey[], kind: Kind, value: unknown): string {
	const first = keys[0] ?? raise('notConfigured', 'there is no token key');
	const payload = Buffer.from(JSON.stringify(value)).toString('base64url');
	return `${payload}.${Buffer.from(signature(first, kind, payload)).toString('base64url')}`;
}

function isSigned(keys: readonly TokenKey[], kind: Kind, payload: string, mark: Uint8Array): boolean {
	return keys.some(key => {
		const expected = signature(key, kind, payload);
		return expected.length === mark.length && timingSafeEqual(expected, mark);
	});
}

/** The signed value, or undefined if the token is not one of ours. */
function open(keys: readonly TokenKey[], kind: Kind, token: string): unknown {
	const [payload, mark, ...rest] = token.split('.');
	if (token.length > maximumLength || payload === undefined || mark === undefined || rest.length > 0) {
		return undefined;
	}

	return isSigned(keys, kind, payload, Buffer.from(mark, 'base64url'))
		? JSON.parse(Buffer.from(payload, 'base64url').toString())
		: undefined;
}

function judge<T extends {readonly expires: number}>(schema: z.ZodType<T>, value: unknown, wall: number): Verdict<T> {
	const parsed = schema.safeParse(value);
	if (!parsed.success) {
		return {type: 'bad'};
	}

	return parsed.data.expires <= wall ? {type: 'expired'} : {type: 'valid', value: parsed.data};
}

/**
 * @param keys - Keys of the configuration; the first signs.
 * @param ticket - Ticket to hand out.
 * @returns The ticket as text for a header.
 */
export function signTicket(keys: readonly TokenKey[], ticket: Ticket): string {
	return sign(keys, 'ticket', ticket);
}

/**
 * @param keys - Keys of the configuration; each of them verifies.
 * @param token - Text that a caller sent as its ticket.
 * @param wall - Wall-clock time in milliseconds since 1970.
 * @returns The ticket, or that it is bad or expired.
 */
export function verifyTicket(keys: readonly TokenKey[], token: string, wall: number): Verdict<Ticket> {
	return judge(ticketSchema, open(keys, 'ticket', token), wall);
}

/**
 * Signs once for a whole stream: only the offset differs between frames, and a caller that changes it
 * merely reads its own stream from another place. A frame then costs no HMAC.
 *
 * @param keys - Keys of the configuration; the first signs.
 * @param stream - Stream of one attempt.
 * @returns Text that {@link positionOf} completes for each frame.
 */
export function signStream(keys: readonly TokenKey[], stream: StreamToken): string {
	return sign(keys, 'stream', stream);
}

/**
 * @param token - Signed stream.
 * @param offset - Offset of the next frame wanted.
 * @returns The position as an event id.
 */
export function positionOf(token: string, offset: number): string {
	return `${token}${offsetSeparator}${offset}`;
}

/**
 * @param keys - Keys of the configuration; each of them verifies.
 * @param position - Event id that a caller sent back.
 * @param wall - Wall-clock time in milliseconds since 1970.
 * @returns The stream position, or that it is bad or expired.
 */
export function verifyPosition(keys: readonly TokenKey[], position: string, wall: number): Verdict<StreamPosition> {
	const [token, text, ...rest] = position.split(offsetSeparator);
	if (token === undefined || text === undefined || rest.length > 0 || !/^\d{1,12}$/v.test(text)) {
		return {type: 'bad'};
	}

	const verdict = judge(streamSchema, open(keys, 'stream', token), wall);
	return verdict.type === 'valid' ? {type: 'valid', value: {...verdict.value, offset: Number(text)}} : verdict;
}
