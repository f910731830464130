/** Writes an answer to one caller, as an event stream, a JSON body or the unchanged bytes of an upstream. */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {breakOff} from '../../protocol/break-off.js';
import {frameSchema, streamEnd, type Frame} from '../../upstream/protocol.js';
import {assertNever, type Outcome} from '../../core/index.js';
import {
	codeHeader,
	getResultCode,
	createErrorBody,
	getOutcomeName,
	outcomeHeader,
	createOutcomeHeaders,
	requestHeader,
} from './outcomes.js';
import {getHttpStatus} from './statuses.js';

type Headers = Readonly<Record<string, string | readonly string[]>>;

/** A part of an answer as it arrives from an upstream. */
export type AnswerPart
	/** Status and headers of a response that is passed through unchanged. */
	= | {readonly type: 'head'; readonly status: number; readonly headers: Headers}
		| {readonly type: 'bytes'; readonly chunk: Uint8Array}
	/** A frame of an engine's stream, with the position from which a caller can resume after it. */
		| {readonly type: 'frame'; readonly position: string; readonly data: string};

/** Whether an engine's answer is sent as an event stream or collected into one JSON body. */
export type AnswerForm = 'stream' | 'whole';

/** A caller that waits for an answer. */
export type Receiver = {
	readonly request: string;
	readonly form: AnswerForm;
	readonly response: ServerResponse;
	/** Frames collected for the form `whole`. */
	readonly frames: Frame[];
};

const eventStreamType = 'text/event-stream';

function sendStreamHead({response, request}: Receiver): void {
	if (response.headersSent) {
		return;
	}

	response.writeHead(200, {
		'content-type': eventStreamType,
		'cache-control': 'no-store',
		[requestHeader]: request,
	});
}

/** Announces the outcome as trailers, because it is known only after the body. */
function sendUpstreamHead({response, request}: Receiver, status: number, headers: Headers): void {
	response.statusCode = status;
	for (const [name, value] of Object.entries(headers)) {
		response.setHeader(name, value);
	}

	response.setHeader(requestHeader, request);
	response.setHeader('trailer', `${outcomeHeader}, ${codeHeader}`);
	response.flushHeaders();
}

/**
 * @returns False if the caller's send buffer is full.
 */
export function writePart(receiver: Receiver, part: AnswerPart): boolean {
	const {response} = receiver;
	if (response.destroyed) {
		return true;
	}

	switch (part.type) {
		case 'head': {
			sendUpstreamHead(receiver, part.status, part.headers);
			return true;
		}

		case 'bytes': {
			return response.write(part.chunk);
		}

		case 'frame': {
			return writeFrame(receiver, part.position, part.data);
		}

		default: {
			return assertNever(part);
		}
	}
}

function writeFrame(receiver: Receiver, position: string, data: string): boolean {
	switch (receiver.form) {
		case 'stream': {
			sendStreamHead(receiver);
			return receiver.response.write(`id: ${position}\ndata: ${data}\n\n`);
		}

		case 'whole': {
			receiver.frames.push(frameSchema.parse(JSON.parse(data)));
			return true;
		}

		default: {
			return assertNever(receiver.form);
		}
	}
}

/**
 * Ends the answer. A stream ends with a terminal event; any other answer that fails midway is cut off by closing the connection,
 * so that the caller sees an error.
 *
 * @param outcome - Outcome of the request.
 * @param ticket - Ticket for the caller to retry with, if one was issued.
 */
export function endAnswer(receiver: Receiver, outcome: Outcome, ticket?: string): void {
	const {response} = receiver;
	if (response.writableEnded || response.destroyed) {
		return;
	}

	if (outcome.type === 'done') {
		endCompleted(receiver, outcome);
	} else if (response.headersSent) {
		endInterrupted(receiver, outcome);
	} else {
		sendJson(receiver, outcome, createErrorBody(receiver.request, outcome, ticket), ticket);
	}
}

function endCompleted(receiver: Receiver, outcome: Outcome): void {
	const {response, form, frames} = receiver;
	const isEventStream = frames.length > 0 || String(response.getHeader('content-type')).startsWith(eventStreamType);
	if (form === 'stream' && response.headersSent && isEventStream) {
		const summary = {choices: [], outcome: {type: getOutcomeName(outcome), code: getResultCode(outcome), request: receiver.request}};
		response.end(`data: ${JSON.stringify(summary)}\n\ndata: ${streamEnd}\n\n`);
	} else if (form === 'whole' && !response.headersSent) {
		sendJson(receiver, outcome, createCompletion(receiver));
	} else {
		response.addTrailers({[outcomeHeader]: getOutcomeName(outcome), [codeHeader]: String(getResultCode(outcome))});
		response.end();
	}
}

function endInterrupted(receiver: Receiver, outcome: Outcome): void {
	const {response, form} = receiver;
	// The bytes of an upstream may have ended inside an event, to which another one would be joined.
	if (form === 'stream') {
		response.end(`event: error\ndata: ${JSON.stringify(createErrorBody(receiver.request, outcome))}\n\n`);
	} else {
		breakOff(response);
	}
}

function sendJson({response, request}: Receiver, outcome: Outcome, body: unknown, ticket?: string): void {
	const text = JSON.stringify(body);
	response.writeHead(getHttpStatus(getResultCode(outcome)), {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
		...createOutcomeHeaders(request, outcome, ticket),
	});
	response.end(text);
}

function createCompletion({request, frames}: Receiver): unknown {
	const content = frames.map(frame => frame.choices[0]?.delta.content ?? '').join('');
	const last = frames.at(-1);
	return {
		id: request,
		object: 'chat.completion',
		choices: [{
			index: 0,
			message: {role: 'assistant', content},
			finish_reason: last?.choices[0]?.finish_reason ?? 'stop',
		}],
		usage: last?.usage,
	};
}
