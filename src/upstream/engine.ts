/** Runs requests on model engines and follows their streams, across broken connections where the engine still runs them. */
import {type IncomingMessage} from 'node:http';
import {type Request} from 'got';
import {codes, type Address, type Ending} from '../core/index.js';
import {clientFor, Sending, urlOf} from './connection.js';
import {Follower, type Sink, type Stretch} from './follower.js';
import {headers} from './protocol.js';

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

/** Times that a broken stream is asked for again. */
const resumptions = 5;

/** Milliseconds before a broken stream is asked for again. */
const resumptionPause = 50;

/** Characters kept of an engine's refusal. */
const refusalLength = 500;

const firstServerError = 500;
const success = 200;
const overloadStatuses: ReadonlySet<number> = new Set([429, 503]);

/**
 * Runs one attempt to its end.
 *
 * @param call - Attempt.
 * @param sink - Takes frames in order, each once.
 * @returns What is provably true of the attempt.
 */
export async function runOnEngine(call: Call, sink: Sink): Promise<Ending> {
	const sending = new Sending();
	const follower = new Follower(call.attempt, sink);
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
	const follower = new Follower(call.attempt, sink, offset);
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
	const stream = clientFor(call.mayRepeat).stream.post(urlOf(call.address, '/v1/chat/completions'), {
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
		signal: call.signal,
	});
	stream.once('request', sending.watch(sink.written));
	const stretch = await read(stream, follower);
	return stretch.type === 'broken' && !sending.isWritten ? {type: 'silent', detail: stretch.detail} : stretch;
}

async function resume(call: Call, follower: Follower): Promise<Stretch> {
	const path = `/v1/attempts/${encodeURIComponent(call.attempt)}?offset=${follower.next}`;
	const stream = clientFor(true).stream(urlOf(call.address, path), {signal: call.signal});
	return read(stream, follower);
}

/** Follows one connection to its end. */
async function read(stream: Request, follower: Follower): Promise<Stretch> {
	follower.restart();
	let status = 0;
	let refusal = '';
	stream.once('response', (response: IncomingMessage) => {
		status = response.statusCode ?? 0;
	});
	try {
		return await new Promise<Stretch>(resolve => {
			stream.on('data', (chunk: Uint8Array) => {
				if (status !== success) {
					refusal = (refusal + new TextDecoder().decode(chunk)).slice(0, refusalLength);
					return;
				}

				const room = follower.feed(chunk);
				if (follower.stretch !== undefined) {
					resolve(follower.stretch);
				} else if (room !== undefined) {
					void hold(stream, room);
				}
			});
			stream.once('end', () => {
				resolve(status === success
					? {type: 'broken', detail: 'the stream ended early'}
					: {type: 'refused', status, detail: refusal});
			});
			// Errors may follow the end, and must not go unheard.
			stream.on('error', error => {
				resolve({type: 'broken', detail: error.message});
			});
			stream.once('close', () => {
				resolve({type: 'broken', detail: 'the connection was closed'});
			});
		});
	} finally {
		stream.destroy();
	}
}

async function hold(stream: Request, room: Promise<void>): Promise<void> {
	stream.pause();
	await room;
	stream.resume();
}

async function pause(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
