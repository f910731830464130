/** Forwards responses of upstreams to callers: a stream event by event, any other body as a whole. */
import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {messageOf} from '../../core/index.js';
import {type AttemptEnding} from '../../core/gateway/limits/retries.js';
import {ByteBuffer} from '../../protocol/byte-buffer.js';
import {EventSplitter} from '../../protocol/event-splitter.js';
import {type Reply} from '../upstreams/attempt.js';
import {filterEndToEndHeaders} from './headers.js';
import {type ReadingObserver, type ResponseBuffer, type UnbegunBytes} from './response-buffer.js';

/** A body up to this size is buffered until it is complete; a longer one is forwarded as it arrives. */
const maxBufferedBytes = 1_000_000;

const contentLengthOnly: ReadonlySet<string> = new Set(['content-length']);
const noHeaders: ReadonlySet<string> = new Set();

/** Notified of the progress of a stream. */
export type StreamObserver = ReadingObserver & {
	/** Bytes without the end of an event after which the response is given up. */
	readonly maxEventBytes: number;
	/** Resolves once events may be forwarded; undefined if they may be now. */
	readonly yielding: Promise<void> | undefined;
	/** Called before bytes are forwarded; returns false if another attempt is kept, so that none may be. */
	readonly leads: () => boolean;
	/** Called just before bytes are forwarded, with the id of the last event that has one, and whether the stream can be continued after them. */
	readonly onEvents: (lastId: string | undefined, canContinue: boolean) => void;
	/** Called once all of the stream has arrived, just before its last bytes are forwarded. */
	readonly onComplete: () => void;
};

/**
 * @param outgoing - Response to the caller.
 * @param reply - Response of the upstream.
 * @param length - Bytes of the body, if known.
 */
export function writeHead(outgoing: ServerResponse, reply: Reply, length?: number): void {
	const isBodiless = reply.framing === 'head';
	// A response without a body, as to HEAD, may state the length of the one that it stands for.
	const headers = filterEndToEndHeaders(reply.rawHeaders, isBodiless ? noHeaders : contentLengthOnly);
	if (length !== undefined && !isBodiless) {
		headers.push('Content-Length', String(length));
	}

	outgoing.sendDate = false;
	outgoing.writeHead(reply.status, headers);
}

/** A response could not be read to its end. */
class ReadingFailure extends Error {
	override readonly name = 'ReadingFailure';
}

/** Reads a body, so that its failures differ from those of what is done with its bytes. */
async function * readChunks({body}: Reply): AsyncGenerator<Buffer, void> {
	try {
		yield * body as AsyncIterable<Buffer>;
	} catch (error) {
		throw new ReadingFailure(messageOf(error), {cause: error});
	}
}

/** Returns the bytes after the last complete event; undefined if there are none. */
function countUnfinished({rest}: EventSplitter): number | undefined {
	return rest.length === 0 ? undefined : rest.length;
}

/** Returns why a stream whose framing says that it is complete is not; undefined if it is. */
function findBreak({isInsideEvent, hasEvents}: EventSplitter, {framing}: Reply): string | undefined {
	if (isInsideEvent) {
		return insideEventReason;
	}

	return framing === 'connection' && !hasEvents ? noEventReason : undefined;
}

const noSpaceReason = 'no space to hold the answer';
/** Ending of an attempt whose response isn't complete. */
export const brokenOffReason = 'the answer broke off';
const insideEventReason = 'the stream ended inside an event';

/** Ending of an attempt that another one has outrun. */
export const outrunReason = 'another attempt is kept';
const noEventReason = 'the connection ended before the first event';

/**
 * Forwards complete events as they arrive. Leaves the response to the caller open: another attempt may continue it. A failure to write them
 * is thrown: which events the caller has received isn't known then, so that no other attempt can continue.
 *
 * @param buffer - Bytes for the caller.
 * @param reply - Response of the upstream.
 * @param progress - Notified of events; sends the head before the first ones.
 * @returns How the attempt ended.
 */
export async function forwardEvents(buffer: ResponseBuffer, reply: Reply, progress: StreamObserver): Promise<AttemptEnding> {
	const splitter = new EventSplitter(progress.maxEventBytes);
	try {
		for await (const chunk of readChunks(reply)) {
			const events = splitter.push(chunk);
			if (splitter.bytesWithoutEvent > progress.maxEventBytes) {
				buffer.countUnbegun({source: reply, bytes: 0});
				return {type: 'unknown', reason: `no event ended within ${progress.maxEventBytes} bytes`, unfinished: splitter.bytesWithoutEvent};
			}

			const {yielding} = progress;
			if (events.bytes.length > 0 && yielding !== undefined) {
				progress.stopped();
				await yielding;
				progress.resumed();
			}

			const unbegun: UnbegunBytes = {source: reply, bytes: splitter.rest.length};
			if (events.bytes.length === 0) {
				buffer.countUnbegun(unbegun);
			} else if (progress.leads()) {
				// Comments before the first event are no part of the stream.
				progress.onEvents(events.lastId, splitter.isLastIdentified || !splitter.hasEvents);
				await buffer.write([events.bytes], {unbegun, observer: progress, signal: reply.signal});
			} else {
				buffer.countUnbegun({source: reply, bytes: 0});
				return {type: 'unknown', reason: outrunReason};
			}

			if (buffer.hasEnded) {
				return {type: 'unknown', reason: noSpaceReason};
			}
		}
	} catch (error) {
		buffer.countUnbegun({source: reply, bytes: 0});
		if (!(error instanceof ReadingFailure)) {
			throw error;
		}

		return {
			type: 'unknown', reason: buffer.hasEnded ? noSpaceReason : messageOf(error), unfinished: countUnfinished(splitter), isDisconnected: !buffer.hasEnded,
		};
	}

	if (!await reply.isComplete()) {
		buffer.countUnbegun({source: reply, bytes: 0});
		return {
			type: 'unknown', reason: brokenOffReason, unfinished: countUnfinished(splitter), isDisconnected: true,
		};
	}

	const brokenOff = findBreak(splitter, reply);
	if (brokenOff !== undefined) {
		buffer.countUnbegun({source: reply, bytes: 0});
		return {type: 'unknown', reason: brokenOff, unfinished: countUnfinished(splitter)};
	}

	if (!progress.leads()) {
		buffer.countUnbegun({source: reply, bytes: 0});
		return {type: 'unknown', reason: outrunReason};
	}

	progress.onComplete();
	await buffer.write([splitter.rest], {unbegun: {source: reply, bytes: 0}, observer: progress, signal: reply.signal});
	return {type: 'answered', status: reply.status, unfinished: countUnfinished(splitter)};
}

/** A complete body. */
export type WholeBody = {readonly type: 'whole'; readonly bytes: Buffer};

/** The buffered beginning of a long body, and an iterator over the rest. */
export type LongBody = {readonly type: 'long'; readonly begin: Buffer; readonly rest: AsyncIterator<Buffer>};

/** A complete body, the buffered beginning of a long one and an iterator over the rest, or the reason why it ended early. */
export type ResponseBody
	= | WholeBody
		| LongBody
		| {readonly type: 'broken'; readonly reason: string; readonly isDisconnected: boolean};

/**
 * Reads a body, up to the maximum that is buffered. While memory is short, it is read only as far as the head shows that it can be passed on.
 *
 * @param reply - Response of an upstream.
 * @param buffer - Counts the bytes that are held.
 * @returns Body.
 */
export async function readBody(reply: Reply, buffer: ResponseBuffer): Promise<ResponseBody> {
	const bytes = new ByteBuffer();
	buffer.addEndHandler(() => {
		reply.body.destroy();
	});
	const iterator = (reply.body as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
	try {
		for (let next = await iterator.next(); !next.done; next = await iterator.next()) {
			bytes.append(next.value);
			buffer.countUnbegun({source: reply, bytes: bytes.length});
			if (buffer.hasEnded) {
				return {type: 'broken', reason: noSpaceReason, isDisconnected: false};
			}

			if (bytes.length > maxBufferedBytes || (buffer.isShortOfSpace && reply.status < 300)) {
				return {type: 'long', begin: bytes.take(), rest: iterator};
			}
		}
	} catch (error) {
		buffer.countUnbegun({source: reply, bytes: 0});
		return {type: 'broken', reason: buffer.hasEnded ? noSpaceReason : messageOf(error), isDisconnected: !buffer.hasEnded};
	}

	if (!await reply.isComplete()) {
		buffer.countUnbegun({source: reply, bytes: 0});
		return {type: 'broken', reason: brokenOffReason, isDisconnected: true};
	}

	return {type: 'whole', bytes: bytes.take()};
}

/**
 * @param buffer - Bytes for the caller, to whom the head has been sent.
 * @param reply - Response that it belongs to.
 * @param body - Body that is too long to buffer.
 * @param maxBytes - Bytes after which it is given up.
 * @returns Why it was not forwarded completely; undefined if it was.
 */
export async function forwardLongBody(buffer: ResponseBuffer, reply: Reply, body: LongBody, maxBytes: number): Promise<string | undefined> {
	let {length} = body.begin;
	try {
		await buffer.write([body.begin], {unbegun: {source: reply, bytes: 0}});
		for (let next = await body.rest.next(); !next.done; next = await body.rest.next()) {
			length += next.value.length;
			if (length > maxBytes) {
				return `the body didn't end within ${maxBytes} bytes`;
			}

			await buffer.write([next.value]);
			if (buffer.hasEnded) {
				return noSpaceReason;
			}
		}

		return undefined;
	} catch (error) {
		// The caller notices the failure as this host does: its connection ends before the body is complete.
		return messageOf(error);
	}
}
