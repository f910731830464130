/** Forwards responses of upstreams to callers: a stream event by event, any other body as a whole. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {messageOf} from '../core/index.js';
import {type AttemptEnding} from '../core/gateway/retries.js';
import {type Reply} from './attempt.js';
import {EventSplitter} from './events.js';
import {filterEndToEndHeaders} from './headers.js';

/** A body up to this size is buffered until it is complete; a longer one is forwarded as it arrives. */
const maxBufferedBytes = 1_000_000;

const contentLengthOnly: ReadonlySet<string> = new Set(['content-length']);

/** Notified of the progress of a stream. */
export type StreamObserver = {
	/** Called just before complete events are forwarded, with the id of the last one that has an id. */
	readonly onEvents: (lastId: string | undefined) => void;
	/** Called when the caller has not read the previous events in time: the next ones may have arrived before they are read. */
	readonly onWait: () => void;
};

/**
 * @param reply - Response of an upstream.
 * @returns Whether its body is a stream of server-sent events.
 */
export function isStream(reply: Reply): boolean {
	return reply.status === 200 && (reply.body.headers['content-type'] ?? '').startsWith('text/event-stream');
}

/**
 * @param outgoing - Response to the caller.
 * @param reply - Response of the upstream.
 * @param length - Bytes of the body, if known.
 */
export function writeHead(outgoing: ServerResponse, reply: Reply, length?: number): void {
	const headers = filterEndToEndHeaders(reply.rawHeaders, contentLengthOnly);
	if (length !== undefined) {
		headers.push('Content-Length', String(length));
	}

	outgoing.sendDate = false;
	outgoing.writeHead(reply.status, headers);
}

async function write(outgoing: ServerResponse, bytes: Buffer): Promise<void> {
	if (bytes.length > 0 && !outgoing.write(bytes) && !outgoing.destroyed) {
		await waitForDrain(outgoing);
	}
}

async function waitForDrain(outgoing: ServerResponse): Promise<void> {
	await Promise.race([once(outgoing, 'drain'), once(outgoing, 'close')]);
}

const brokenOffReason = 'the answer broke off';

/**
 * Forwards complete events as they arrive. Leaves the response to the caller open: another attempt may continue it.
 *
 * @param outgoing - Response to the caller, whose head has been sent.
 * @param reply - Response of the upstream.
 * @param progress - Notified of events.
 * @returns How the attempt ended.
 */
export async function forwardEvents(outgoing: ServerResponse, reply: Reply, progress: StreamObserver): Promise<AttemptEnding> {
	const splitter = new EventSplitter();
	try {
		for await (const chunk of reply.body as AsyncIterable<Buffer>) {
			const events = splitter.push(chunk);
			if (events.bytes.length > 0) {
				progress.onEvents(events.lastId);
				if (!outgoing.write(events.bytes) && !outgoing.destroyed) {
					progress.onWait();
					await waitForDrain(outgoing);
				}
			}
		}
	} catch (error) {
		return {type: 'unknown', reason: messageOf(error)};
	}

	if (!await reply.isComplete()) {
		return {type: 'unknown', reason: brokenOffReason};
	}

	await write(outgoing, splitter.rest);
	return {type: 'answered', status: reply.status};
}

/** A complete body, the buffered beginning of a long one and an iterator over the rest, or the reason why it ended early. */
export type ResponseBody
	= | {readonly type: 'whole'; readonly bytes: Buffer}
		| {readonly type: 'long'; readonly begin: readonly Buffer[]; readonly rest: AsyncIterator<Buffer>}
		| {readonly type: 'broken'; readonly reason: string};

/**
 * Reads a body, up to the maximum that is buffered.
 *
 * @param reply - Response of an upstream.
 * @returns Body.
 */
export async function readBody(reply: Reply): Promise<ResponseBody> {
	const chunks: Buffer[] = [];
	let length = 0;
	const iterator = (reply.body as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
	try {
		for (let next = await iterator.next(); !next.done; next = await iterator.next()) {
			chunks.push(next.value);
			length += next.value.length;
			if (length > maxBufferedBytes) {
				return {type: 'long', begin: chunks, rest: iterator};
			}
		}
	} catch (error) {
		return {type: 'broken', reason: messageOf(error)};
	}

	return await reply.isComplete() ? {type: 'whole', bytes: Buffer.concat(chunks)} : {type: 'broken', reason: brokenOffReason};
}

/**
 * @param outgoing - Response to the caller, whose head has been sent.
 * @param body - Body that is too long to buffer.
 * @returns Whether all of it was forwarded.
 */
export async function forwardLongBody(outgoing: ServerResponse, body: Extract<ResponseBody, {type: 'long'}>): Promise<boolean> {
	try {
		await write(outgoing, Buffer.concat(body.begin));
		for (let next = await body.rest.next(); !next.done; next = await body.rest.next()) {
			await write(outgoing, next.value);
		}

		return true;
	} catch {
		// The caller notices the failure as this host does: its connection ends before the body is complete.
		return false;
	}
}
