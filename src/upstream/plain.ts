/** Passes calls to plain services, to old endpoints and to other hosts, byte by byte. */
import {type IncomingMessage} from 'node:http';
import {type Method} from 'got';
import {
	messageOf, codes, type Address, type Ending,
} from '../core/index.js';
import {perConnectionHeaders} from '../protocol/per-connection.js';
import {clientFor, Sending, urlOf} from './connection.js';

export type PassedHeaders = Readonly<Record<string, string | readonly string[]>>;

/** One call as it is passed on. */
export type PlainCall = {
	readonly address: Address;
	readonly method: Method;
	/** Path with query. */
	readonly path: string;
	readonly headers: PassedHeaders;
	readonly body: Uint8Array;
	readonly mayRepeat: boolean;
	readonly signal: AbortSignal;
};

/** Takes what the upstream answers. */
export type PlainSink = {
	/** Bytes may have reached the upstream. */
	readonly written: () => void;
	readonly head: (status: number, headers: PassedHeaders) => void;
	/** The next bytes; a promise is awaited before those after them. */
	readonly bytes: (chunk: Uint8Array) => Promise<void> | undefined;
};

/** The client library sets length and host anew. */
const notPassed: ReadonlySet<string> = new Set([...perConnectionHeaders, 'content-length', 'host']);

/**
 * @param headers - Headers of a request or response.
 * @returns Those that are meant for the far end.
 */
export function endToEnd(headers: NodeJS.Dict<string | readonly string[]>): PassedHeaders {
	const passed: Record<string, string | readonly string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !notPassed.has(name)) {
			passed[name] = value;
		}
	}

	return passed;
}

function copyOf(headers: PassedHeaders): Record<string, string | string[]> {
	return Object.fromEntries(Object.entries(headers).map(([name, value]) =>
		[name, typeof value === 'string' ? value : [...value]]));
}

function asBytes(chunk: unknown): Uint8Array {
	return chunk instanceof Uint8Array ? chunk : new TextEncoder().encode(String(chunk));
}

/** Without a body of its own, got waits for one to be written, except where the method has none. */
function bodyOf({method, body}: PlainCall) {
	const isBodiless = method === 'GET' || method === 'HEAD' || method === 'OPTIONS';
	return isBodiless && body.byteLength === 0 ? {} : {body, allowGetBody: true};
}

/**
 * Passes one call on and its answer back.
 *
 * @param call - Call.
 * @param sink - Takes the answer.
 * @returns What is provably true of the call.
 */
export async function runOnPlain(call: PlainCall, sink: PlainSink): Promise<Ending> {
	const sending = new Sending();
	const stream = clientFor(call.mayRepeat).stream(urlOf(call.address, call.path), {
		method: call.method,
		headers: copyOf(call.headers),
		...bodyOf(call),
		signal: call.signal,
	});
	stream.once('request', sending.watch(sink.written));
	let answered = false;
	stream.once('response', (response: IncomingMessage) => {
		answered = true;
		sink.head(response.statusCode ?? 0, endToEnd(response.headers));
	});
	try {
		for await (const chunk of stream) {
			const room = sink.bytes(asBytes(chunk));
			if (room !== undefined) {
				await room;
			}
		}

		return {type: 'done', tokens: 0};
	} catch (error) {
		return broken(sending.isWritten, answered, call.signal, messageOf(error));
	} finally {
		stream.destroy();
	}
}

function broken(isWritten: boolean, answered: boolean, signal: AbortSignal, detail: string): Ending {
	if (!isWritten) {
		return {
			type: 'not-run', code: codes.notConnected, overload: false, detail,
		};
	}

	if (signal.aborted) {
		return {type: 'cancelled'};
	}

	return {
		type: 'unknown', code: answered ? codes.streamCut : codes.outcomeUnknown, detail, relayed: answered,
	};
}
