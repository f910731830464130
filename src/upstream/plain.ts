/** Passes calls to plain services, legacy endpoints and other hosts, and streams their responses back unchanged. */
import {Buffer} from 'node:buffer';
import {type ClientRequest, type IncomingMessage} from 'node:http';
import {type Method} from 'got';
import {
	messageOf, codes, type Address, type Ending,
} from '../core/index.js';
import {isFinalStatus} from '../core/gateway/responses/head.js';
import {probeEnd} from '../protocol/connection-end.js';
import {EventSplitter, isEventStreamType} from '../protocol/event-splitter.js';
import {hopByHopHeaders} from '../protocol/hop-by-hop-headers.js';
import {findFraming} from '../protocol/response-framing.js';
import {getClient, SendTracker, createUrl} from './connection.js';

export type EndToEndHeaders = Readonly<Record<string, string | readonly string[]>>;

/** One call to an upstream or another host. */
export type PlainCall = {
	readonly address: Address;
	readonly method: Method;
	/** Path with query. */
	readonly path: string;
	readonly headers: EndToEndHeaders;
	readonly body: Uint8Array;
	readonly isRepeatable: boolean;
	readonly signal: AbortSignal;
};

/** Receives the response. */
export type PlainSink = {
	/** Called when bytes may have reached the upstream. */
	readonly written: () => void;
	/** Called with the status and the end-to-end headers. */
	readonly head: (status: number, headers: EndToEndHeaders) => void;
	/** Called with the next bytes. No more are read until the returned promise settles. */
	readonly bytes: (chunk: Uint8Array) => Promise<void> | undefined;
};

/** Headers of a single connection, and headers that got sets itself. */
const excludedHeaders: ReadonlySet<string> = new Set([...hopByHopHeaders, 'content-length', 'host']);

/**
 * @param headers - Headers of a request or response.
 * @returns Headers to pass on.
 */
export function filterEndToEndHeaders(headers: NodeJS.Dict<string | readonly string[]>): EndToEndHeaders {
	const passed: Record<string, string | readonly string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !excludedHeaders.has(name)) {
			passed[name] = value;
		}
	}

	return passed;
}

function toMutableHeaders(headers: EndToEndHeaders): Record<string, string | string[]> {
	return Object.fromEntries(Object.entries(headers).map(([name, value]) =>
		[name, typeof value === 'string' ? value : [...value]]));
}

function toBytes(chunk: unknown): Uint8Array {
	return chunk instanceof Uint8Array ? chunk : new TextEncoder().encode(String(chunk));
}

/** Sets an empty body too, since got otherwise waits for one to be written, except for methods without a body. */
function getBodyOptions({method, body}: PlainCall) {
	const isBodiless = method === 'GET' || method === 'HEAD' || method === 'OPTIONS';
	return isBodiless && body.byteLength === 0 ? {} : {body, allowGetBody: true};
}

/** Checks a response that ended as its framing demands for missing parts. */
class ResponseEnd {
	readonly #method: string;
	/** Set for a stream of events. */
	#splitter: EventSplitter | undefined;
	#properEnd: Promise<boolean> | undefined;

	constructor(method: string) {
		this.#method = method;
	}

	/** Observes a response from its head on. */
	observe(response: IncomingMessage): void {
		if (isEventStreamType(response.headers['content-type'])) {
			this.#splitter = new EventSplitter();
		}

		if (findFraming(this.#method, response.statusCode ?? 0, response.headers) === 'connection') {
			this.#properEnd = probeEnd(response.socket);
		}
	}

	push(bytes: Uint8Array): void {
		this.#splitter?.push(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength));
	}

	/** Returns why a response is not complete that has ended as its framing demands. */
	async findBreak(): Promise<string | undefined> {
		if (this.#splitter?.isInsideEvent === true) {
			return 'the stream ended inside an event';
		}

		if (this.#properEnd === undefined) {
			return undefined;
		}

		if (this.#splitter?.hasEvents === false) {
			return 'the connection ended before the first event';
		}

		return await this.#properEnd ? undefined : 'the connection was reset';
	}
}

/**
 * Sends one call and streams its response to the sink.
 *
 * @returns How the call ended, as far as it is certain.
 */
export async function runOnPlain(call: PlainCall, sink: PlainSink): Promise<Ending> {
	const tracker = new SendTracker();
	const stream = getClient(call.isRepeatable).stream(createUrl(call.address, call.path), {
		method: call.method,
		headers: toMutableHeaders(call.headers),
		...getBodyOptions(call),
		signal: call.signal,
	});
	stream.once('request', tracker.createRequestListener(sink.written));
	const end = new ResponseEnd(call.method);
	stream.once('request', (request: ClientRequest) => {
		request.once('response', response => {
			end.observe(response);
		});
	});
	let hasAnswered = false;
	stream.once('response', (response: IncomingMessage) => {
		const status = response.statusCode ?? 0;
		if (!isFinalStatus(status)) {
			stream.destroy(new Error(`status ${status} is not final`));
			return;
		}

		hasAnswered = true;
		sink.head(status, filterEndToEndHeaders(response.headers));
	});
	try {
		for await (const chunk of stream) {
			const bytes = toBytes(chunk);
			end.push(bytes);
			const backpressure = sink.bytes(bytes);
			if (backpressure !== undefined) {
				await backpressure;
			}
		}

		const brokenOff = await end.findBreak();
		return brokenOff === undefined
			? {type: 'done', tokens: 0}
			: createInterruptedEnding(tracker.isWritten, hasAnswered, call.signal, brokenOff);
	} catch (error) {
		return createInterruptedEnding(tracker.isWritten, hasAnswered, call.signal, messageOf(error));
	} finally {
		stream.destroy();
	}
}

function createInterruptedEnding(isWritten: boolean, hasAnswered: boolean, signal: AbortSignal, detail: string): Ending {
	if (!isWritten) {
		return {
			type: 'not-run', code: codes.notConnected, overload: false, detail,
		};
	}

	if (signal.aborted) {
		return {type: 'cancelled'};
	}

	return {
		type: 'unknown', code: hasAnswered ? codes.streamCut : codes.outcomeUnknown, detail, relayed: hasAnswered,
	};
}
