/** Passes answers of upstreams on to callers: whole events of a stream, or a whole body. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {messageOf} from '../core/index.js';
import {type AttemptEnding} from '../core/gateway/retries.js';
import {type Reply} from './attempt.js';
import {EventSplitter} from './events.js';
import {endToEnd} from './headers.js';

/** Bytes of an answer that is kept until it is whole; a longer one is passed on as it comes. */
const keptAnswer = 1_000_000;

const withoutLength: ReadonlySet<string> = new Set(['content-length']);

/** What a stream has brought so far. */
export type Progress = {
	/** Called when events were passed on. */
	readonly onEvents: (lastId: string | undefined) => void;
};

/**
 * @param reply - Head of an answer.
 * @returns Whether its body is a stream of events.
 */
export function isStream(reply: Reply): boolean {
	return reply.status === 200 && (reply.body.headers['content-type'] ?? '').startsWith('text/event-stream');
}

/**
 * @param outgoing - Answer to the caller.
 * @param reply - Head that the upstream sent.
 * @param length - Bytes of the body, if they are known.
 */
export function writeHead(outgoing: ServerResponse, reply: Reply, length?: number): void {
	const headers = endToEnd(reply.raw, withoutLength);
	if (length !== undefined) {
		headers.push('Content-Length', String(length));
	}

	outgoing.sendDate = false;
	outgoing.writeHead(reply.status, headers);
}

async function write(outgoing: ServerResponse, bytes: Buffer): Promise<void> {
	if (bytes.length > 0 && !outgoing.write(bytes) && !outgoing.destroyed) {
		await Promise.race([once(outgoing, 'drain'), once(outgoing, 'close')]);
	}
}

const brokenOff = 'the answer broke off';

/**
 * Passes whole events on as they come. The caller's answer is left open: another attempt may go on with it.
 *
 * @param outgoing - Answer to the caller, its head sent.
 * @param reply - Answer of the upstream.
 * @param progress - Told of events.
 * @returns How the attempt ended.
 */
export async function relayEvents(outgoing: ServerResponse, reply: Reply, progress: Progress): Promise<AttemptEnding> {
	const splitter = new EventSplitter();
	try {
		for await (const chunk of reply.body as AsyncIterable<Buffer>) {
			const events = splitter.push(chunk);
			if (events.bytes.length > 0) {
				progress.onEvents(events.lastId);
				await write(outgoing, events.bytes);
			}
		}
	} catch (error) {
		return {type: 'unknown', reason: messageOf(error)};
	}

	if (!await reply.isWhole()) {
		return {type: 'unknown', reason: brokenOff};
	}

	await write(outgoing, splitter.rest);
	return {type: 'answered', status: reply.status};
}

/** A whole body, or the part of a long one that has come and the rest that will. */
export type Body
	= | {readonly type: 'whole'; readonly bytes: Buffer}
		| {readonly type: 'long'; readonly begin: readonly Buffer[]; readonly rest: AsyncIterator<Buffer>}
		| {readonly type: 'broken'; readonly reason: string};

/**
 * @param reply - Answer of an upstream.
 * @returns Its body, if it came whole.
 */
export async function readBody(reply: Reply): Promise<Body> {
	const chunks: Buffer[] = [];
	let length = 0;
	const iterator = (reply.body as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
	try {
		for (let next = await iterator.next(); !next.done; next = await iterator.next()) {
			chunks.push(next.value);
			length += next.value.length;
			if (length > keptAnswer) {
				return {type: 'long', begin: chunks, rest: iterator};
			}
		}
	} catch (error) {
		return {type: 'broken', reason: messageOf(error)};
	}

	return await reply.isWhole() ? {type: 'whole', bytes: Buffer.concat(chunks)} : {type: 'broken', reason: brokenOff};
}

/**
 * @param outgoing - Answer to the caller, its head sent.
 * @param body - Body longer than is kept.
 * @returns Whether all of it was passed on.
 */
export async function relayLong(outgoing: ServerResponse, body: Extract<Body, {type: 'long'}>): Promise<boolean> {
	try {
		await write(outgoing, Buffer.concat(body.begin));
		for (let next = await body.rest.next(); !next.done; next = await body.rest.next()) {
			await write(outgoing, next.value);
		}

		return true;
	} catch {
		// The caller sees the same break as this host: its connection ends before the body does.
		return false;
	}
}
