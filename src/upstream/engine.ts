/** Runs requests on model engines and follows their streams, across broken connections where the engine still runs them. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import got from 'got';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {
	messageOf, codes, type Address, type Ending,
} from '../core/index.js';
import {
	connectTimeout,
	reusingAgent,
	Sending,
	singleAgent,
	urlOf,
} from './connection.js';
import {frameSchema, headers, streamEnd} from './protocol.js';

/** One attempt as it is sent to an engine. */
export type Call = {
	readonly address: Address;
	readonly attempt: string;
	/** JSON with `stream` true. */
	readonly body: string;
	readonly priority: number;
	/** Milliseconds that remain. */
	readonly timeout: number;
	/** `host/started` of this host. */
	readonly owner: string;
	readonly mayRepeat: boolean;
	/** Caller's idempotency key, for engines that keep an account of it. */
	readonly key?: string;
	readonly holds?: readonly string[];
	readonly promptTokens?: number;
	readonly signal: AbortSignal;
};

/** Takes what an engine sends. */
export type Sink = {
	/** Bytes may have reached the engine. */
	readonly written: () => void;
	/** The next frame; a promise is awaited before the one after it. */
	readonly frame: (offset: number, data: string) => Promise<void> | undefined;
	/** A frame that does not belong here was dropped. */
	readonly stray: (reason: 'attempt' | 'offset') => void;
};

/** Times that a broken stream is asked for again. */
const resumptions = 5;

/** Milliseconds before a broken stream is asked for again. */
const resumptionPause = 50;

const firstServerError = 500;
const success = 200;
const overloadStatuses: ReadonlySet<number> = new Set([429, 503]);

/** How one connection of a stream came to its end. */
type Stretch
	= | {readonly type: 'complete'}
		| {readonly type: 'broken'; readonly detail: string}
		| {readonly type: 'refused'; readonly status: number; readonly detail: string}
		| {readonly type: 'silent'; readonly detail: string};

/** Follows one attempt's frames. */
class Follower {
	readonly #call: Call;
	readonly #sink: Sink;
	#next: number;
	#tokens = 0;
	#cached: number | undefined;

	constructor(call: Call, sink: Sink, next = 0) {
		this.#call = call;
		this.#sink = sink;
		this.#next = next;
	}

	get next(): number {
		return this.#next;
	}

	get ending(): Ending {
		return {type: 'done', tokens: this.#tokens, cachedTokens: this.#cached};
	}

	/**
	 * @param source - Response body of the engine.
	 * @returns Whether the stream's end was seen, a frame was missing or the connection ended early.
	 */
	async follow(source: AsyncIterable<Uint8Array>): Promise<Stretch> {
		const decoder = new TextDecoder();
		const events: EventSourceMessage[] = [];
		const parser = createParser({
			onEvent(event) {
				events.push(event);
			},
		});
		for await (const chunk of source) {
			parser.feed(decoder.decode(chunk, {stream: true}));
			const taken = events.splice(0);
			for (const event of taken) {
				const stretch = await this.#take(event);
				if (stretch !== undefined) {
					return stretch;
				}
			}
		}

		return {type: 'broken', detail: 'the stream ended early'};
	}

	async #take(event: EventSourceMessage): Promise<Stretch | undefined> {
		if (event.data === streamEnd) {
			return {type: 'complete'};
		}

		const [attempt, offset] = splitId(event.id);
		if (attempt !== this.#call.attempt) {
			this.#sink.stray('attempt');
			return undefined;
		}

		if (offset !== this.#next) {
			this.#sink.stray('offset');
			return offset > this.#next ? {type: 'broken', detail: 'a frame is missing'} : undefined;
		}

		this.#next++;
		this.#tokens++;
		this.#readUsage(event.data);
		const room = this.#sink.frame(offset, event.data);
		if (room !== undefined) {
			await room;
		}

		return undefined;
	}

	/** Only the last frame has usage, so the others need not be parsed. */
	#readUsage(data: string): void {
		if (data.includes('"usage":{')) {
			const {usage} = frameSchema.parse(JSON.parse(data));
			this.#tokens = usage?.completion_tokens ?? this.#tokens;
			this.#cached = usage?.cached_tokens;
		}
	}
}

function splitId(id: string | undefined): readonly [attempt: string, offset: number] {
	const slash = id?.lastIndexOf('/') ?? -1;
	return id === undefined || slash < 0 ? ['', -1] : [id.slice(0, slash), Number(id.slice(slash + 1))];
}

/**
 * Runs one attempt to its end.
 *
 * @param call - Attempt.
 * @param sink - Takes frames in order, each once.
 * @returns What is provably true of the attempt.
 */
export async function runOnEngine(call: Call, sink: Sink): Promise<Ending> {
	const sending = new Sending();
	const follower = new Follower(call, sink);
	let stretch = await post(call, sink, sending, follower);
	if (stretch.type === 'silent') {
		return {
			type: 'not-run', code: codes.notConnected, overload: false, detail: stretch.detail,
		};
	}

	for (let tries = 0; stretch.type === 'broken' && tries < resumptions && !call.signal.aborted; tries++) {
		await pause(resumptionPause * tries);
		const again = await resume(call, follower);
		if (again.type === 'refused') {
			break;
		}

		stretch = again.type === 'silent' ? stretch : again;
	}

	return endingOf(stretch, follower, call.signal);
}

/**
 * Follows an attempt that an engine already runs, from an offset on.
 *
 * @param call - Attempt; its body is not sent.
 * @param offset - First frame wanted.
 * @param sink - Takes frames in order, each once.
 * @returns What is provably true of the attempt.
 */
export async function resumeOnEngine(call: Call, offset: number, sink: Sink): Promise<Ending> {
	const follower = new Follower(call, sink, offset);
	let stretch = await resume(call, follower);
	for (let tries = 1; stretch.type === 'broken' && tries < resumptions && !call.signal.aborted; tries++) {
		await pause(resumptionPause * tries);
		stretch = await resume(call, follower);
	}

	return stretch.type === 'complete'
		? follower.ending
		: {
			type: 'unknown', code: codes.streamCut, detail: 'the engine no longer has the stream', relayed: follower.next > offset,
		};
}

function endingOf(stretch: Stretch, follower: Follower, signal: AbortSignal): Ending {
	if (stretch.type === 'complete') {
		return follower.ending;
	}

	if (signal.aborted) {
		return {type: 'cancelled'};
	}

	const {detail} = stretch;
	if (stretch.type === 'refused') {
		return stretch.status < firstServerError || overloadStatuses.has(stretch.status)
			? {
				type: 'not-run', code: codes.refusedByUpstream, overload: overloadStatuses.has(stretch.status), detail,
			}
			: {type: 'failed', code: codes.upstreamFailed, detail};
	}

	const code = follower.next > 0 ? codes.streamCut : codes.outcomeUnknown;
	return {
		type: 'unknown', code, detail, relayed: follower.next > 0,
	};
}

async function post(call: Call, sink: Sink, sending: Sending, follower: Follower): Promise<Stretch> {
	const stream = got.stream.post(urlOf(call.address, '/v1/chat/completions'), {
		body: call.body,
		headers: {
			'content-type': 'application/json',
			accept: 'text/event-stream',
			[headers.attempt]: call.attempt,
			[headers.priority]: String(call.priority),
			[headers.timeout]: String(Math.max(1, Math.round(call.timeout))),
			[headers.owner]: call.owner,
			...(call.key !== undefined && {'idempotency-key': call.key}),
			...(call.holds !== undefined && {[headers.holds]: call.holds.join(',')}),
			...(call.promptTokens !== undefined && {[headers.promptTokens]: String(call.promptTokens)}),
		},
		agent: {http: call.mayRepeat ? reusingAgent : singleAgent},
		retry: {limit: 0},
		throwHttpErrors: false,
		timeout: {connect: connectTimeout},
		signal: call.signal,
		decompress: false,
	});
	stream.once('request', sending.watch(sink.written));
	const stretch = await read(stream, follower);
	return stretch.type === 'broken' && !sending.isWritten ? {type: 'silent', detail: stretch.detail} : stretch;
}

async function resume(call: Call, follower: Follower): Promise<Stretch> {
	const path = `/v1/attempts/${encodeURIComponent(call.attempt)}?offset=${follower.next}`;
	const stream = got.stream(urlOf(call.address, path), {
		agent: {http: reusingAgent},
		retry: {limit: 0},
		throwHttpErrors: false,
		timeout: {connect: connectTimeout},
		signal: call.signal,
		decompress: false,
	});
	return read(stream, follower);
}

type Download = AsyncIterable<Uint8Array> & {
	readonly response?: IncomingMessage;
	readonly destroy: () => unknown;
	readonly once: (event: 'response', listener: (response: IncomingMessage) => void) => unknown;
};

async function read(stream: Download, follower: Follower): Promise<Stretch> {
	let status = 0;
	stream.once('response', response => {
		status = response.statusCode ?? 0;
	});
	try {
		const chunks = stream[Symbol.asyncIterator]();
		const first = await chunks.next();
		const source: AsyncIterable<Uint8Array> = {
			async * [Symbol.asyncIterator]() {
				for (let item = first; !item.done; item = await chunks.next()) {
					yield item.value;
				}
			},
		};
		return status === success
			? await follower.follow(source)
			: {type: 'refused', status, detail: await readText(source)};
	} catch (error) {
		return {type: 'broken', detail: messageOf(error)};
	} finally {
		stream.destroy();
	}
}

async function readText(source: AsyncIterable<Uint8Array>): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of source) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8').slice(0, 500);
}

async function pause(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
