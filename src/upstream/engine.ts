/** Runs attempts on model engines and follows their streams. Resumes a stream after a broken connection if the engine still has it. */
import {type IncomingMessage} from 'node:http';
import {type Request} from 'got';
import {codes, type Address, type Ending} from '../core/index.js';
import {getClient, SendTracker, createUrl} from './connection.js';
import {FrameFollower, type FrameSink, type ConnectionEnd} from './follower.js';
import {engineHeaders} from './protocol.js';

/** One attempt at an engine. */
export type EngineCall = {
	readonly address: Address;
	readonly attempt: string;
	/** JSON body with `stream` set to true. */
	readonly body: string;
	readonly priority: number;
	/** Remaining time in milliseconds. */
	readonly timeout: number;
	/** This host as `host/started`. */
	readonly owner: string;
	readonly isRepeatable: boolean;
	/** Idempotency key, for engines that support it. */
	readonly key?: string;
	/** Ids of the holds that contain the prompt's KV cache. */
	readonly holds?: readonly string[];
	readonly promptTokens?: number;
	readonly signal: AbortSignal;
};

const maxResumptions = 5;

/** Multiplied by the number of earlier resumptions. */
const resumptionDelayMs = 50;

/** Number of characters of a refusal that are kept as its detail. */
const maxRefusalLength = 500;

const firstServerErrorStatus = 500;
const okStatus = 200;
const overloadStatuses: ReadonlySet<number> = new Set([429, 503]);

/**
 * Runs one attempt to its end.
 *
 * @param call - Attempt to run.
 * @param sink - Receives each frame once, in order.
 * @returns How the attempt ended, as far as it is certain.
 */
export async function runOnEngine(call: EngineCall, sink: FrameSink): Promise<Ending> {
	const tracker = new SendTracker();
	const follower = new FrameFollower(call.attempt, sink);
	let connectionEnd = await postRequest(call, sink, tracker, follower);
	if (connectionEnd.type === 'silent') {
		return {
			type: 'not-run', code: codes.notConnected, overload: false, detail: connectionEnd.detail,
		};
	}

	for (let resumptions = 0; connectionEnd.type === 'broken' && resumptions < maxResumptions && !call.signal.aborted; resumptions++) {
		await delay(resumptionDelayMs * resumptions);
		const resumed = await resumeStream(call, follower);
		if (resumed.type === 'refused') {
			break;
		}

		connectionEnd = resumed.type === 'silent' ? connectionEnd : resumed;
	}

	return createEnding(connectionEnd, follower, call.signal);
}

/**
 * Follows an attempt that already runs on an engine.
 *
 * @param call - Attempt to follow; its body is not sent.
 * @param offset - Offset of the first frame to receive.
 * @param sink - Receives each frame once, in order.
 * @returns How the attempt ended, as far as it is certain.
 */
export async function resumeOnEngine(call: EngineCall, offset: number, sink: FrameSink): Promise<Ending> {
	const follower = new FrameFollower(call.attempt, sink, offset);
	let connectionEnd = await resumeStream(call, follower);
	for (let resumptions = 1; connectionEnd.type === 'broken' && resumptions < maxResumptions && !call.signal.aborted; resumptions++) {
		await delay(resumptionDelayMs * resumptions);
		connectionEnd = await resumeStream(call, follower);
	}

	return connectionEnd.type === 'complete'
		? follower.ending
		: {
			type: 'unknown', code: codes.streamCut, detail: 'the engine no longer has the stream', relayed: follower.nextOffset > offset,
		};
}

function createEnding(connectionEnd: ConnectionEnd, follower: FrameFollower, signal: AbortSignal): Ending {
	if (connectionEnd.type === 'complete') {
		return follower.ending;
	}

	if (signal.aborted) {
		return {type: 'cancelled'};
	}

	const {detail} = connectionEnd;
	if (connectionEnd.type === 'refused') {
		return connectionEnd.status < firstServerErrorStatus || overloadStatuses.has(connectionEnd.status)
			? {
				type: 'not-run', code: codes.refusedByUpstream, overload: overloadStatuses.has(connectionEnd.status), detail,
			}
			: {type: 'failed', code: codes.upstreamFailed, detail};
	}

	const code = follower.nextOffset > 0 ? codes.streamCut : codes.outcomeUnknown;
	return {
		type: 'unknown', code, detail, relayed: follower.nextOffset > 0,
	};
}

async function postRequest(call: EngineCall, sink: FrameSink, tracker: SendTracker, follower: FrameFollower): Promise<ConnectionEnd> {
	const stream = getClient(call.isRepeatable).stream.post(createUrl(call.address, '/v1/chat/completions'), {
		body: call.body,
		headers: {
			'content-type': 'application/json',
			accept: 'text/event-stream',
			[engineHeaders.attempt]: call.attempt,
			[engineHeaders.priority]: String(call.priority),
			[engineHeaders.timeout]: String(Math.max(1, Math.round(call.timeout))),
			[engineHeaders.owner]: call.owner,
			...(call.key !== undefined && {'idempotency-key': call.key}),
			...(call.holds !== undefined && {[engineHeaders.holds]: call.holds.join(',')}),
			...(call.promptTokens !== undefined && {[engineHeaders.promptTokens]: String(call.promptTokens)}),
		},
		signal: call.signal,
	});
	stream.once('request', tracker.createRequestListener(sink.written));
	const connectionEnd = await followConnection(stream, follower);
	return connectionEnd.type === 'broken' && !tracker.isWritten ? {type: 'silent', detail: connectionEnd.detail} : connectionEnd;
}

async function resumeStream(call: EngineCall, follower: FrameFollower): Promise<ConnectionEnd> {
	const path = `/v1/attempts/${encodeURIComponent(call.attempt)}?offset=${follower.nextOffset}`;
	const stream = getClient(true).stream(createUrl(call.address, path), {signal: call.signal});
	return followConnection(stream, follower);
}

/** Feeds the data of one connection to the follower until the connection ends. */
async function followConnection(stream: Request, follower: FrameFollower): Promise<ConnectionEnd> {
	follower.startConnection();
	let status = 0;
	let refusal = '';
	stream.once('response', (response: IncomingMessage) => {
		status = response.statusCode ?? 0;
	});
	try {
		return await new Promise<ConnectionEnd>(resolve => {
			stream.on('data', (chunk: Uint8Array) => {
				if (status !== okStatus) {
					refusal = (refusal + new TextDecoder().decode(chunk)).slice(0, maxRefusalLength);
					return;
				}

				const backpressure = follower.feed(chunk);
				if (follower.connectionEnd !== undefined) {
					resolve(follower.connectionEnd);
				} else if (backpressure !== undefined) {
					void pauseStream(stream, backpressure);
				}
			});
			stream.once('end', () => {
				resolve(status === okStatus
					? {type: 'broken', detail: 'the stream ended early'}
					: {type: 'refused', status, detail: refusal});
			});
			// Errors may follow the end; without a listener they would be thrown.
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

async function pauseStream(stream: Request, backpressure: Promise<void>): Promise<void> {
	stream.pause();
	await backpressure;
	stream.resume();
}

async function delay(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
