/** Writes an answer to one caller, in the form it asked for. */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {frameSchema, streamEnd, type Frame} from '../../upstream/protocol.js';
import {assertNever, type Outcome} from '../../core/index.js';
import {
	codeHeader,
	codeOf,
	complaint,
	nameOf,
	outcomeHeader,
	outcomeHeaders,
	requestHeader,
} from './outcomes.js';
import {statusOf} from './statuses.js';

type Headers = Readonly<Record<string, string | readonly string[]>>;

/** A part of an answer. */
export type Piece
	/** Status and headers of an answer that is passed on as it is. */
	= | {readonly type: 'head'; readonly status: number; readonly headers: Headers}
		| {readonly type: 'bytes'; readonly chunk: Uint8Array}
	/** A frame of an engine's stream with the position from which a caller can resume. */
		| {readonly type: 'frame'; readonly position: string; readonly data: string};

/** Form in which a caller takes the answer. */
export type Form = 'stream' | 'whole';

/** One caller waiting for an answer. */
export type Receiver = {
	readonly request: string;
	readonly form: Form;
	readonly response: ServerResponse;
	/** Frames kept for a caller that takes the answer whole. */
	readonly frames: Frame[];
};

const eventStream = 'text/event-stream';

function openStream({response, request}: Receiver): void {
	if (response.headersSent) {
		return;
	}

	response.writeHead(200, {
		'content-type': eventStream,
		'cache-control': 'no-store',
		[requestHeader]: request,
	});
}

/** The outcome is known only after the bytes, so it follows them as trailers. */
function openPassed({response, request}: Receiver, status: number, headers: Headers): void {
	response.statusCode = status;
	for (const [name, value] of Object.entries(headers)) {
		response.setHeader(name, value);
	}

	response.setHeader(requestHeader, request);
	response.setHeader('trailer', `${outcomeHeader}, ${codeHeader}`);
	response.flushHeaders();
}

/**
 * @param receiver - Caller.
 * @param piece - Part of the answer.
 * @returns Whether the caller's buffer has room for more.
 */
export function writePiece(receiver: Receiver, piece: Piece): boolean {
	const {response} = receiver;
	if (response.destroyed) {
		return true;
	}

	switch (piece.type) {
		case 'head': {
			openPassed(receiver, piece.status, piece.headers);
			return true;
		}

		case 'bytes': {
			return response.write(piece.chunk);
		}

		case 'frame': {
			return writeFrame(receiver, piece.position, piece.data);
		}

		default: {
			return assertNever(piece);
		}
	}
}

function writeFrame(receiver: Receiver, position: string, data: string): boolean {
	switch (receiver.form) {
		case 'stream': {
			openStream(receiver);
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
 * Ends the answer. A stream gets its terminal event; an answer that cannot be ended well is cut, so that the caller sees an error.
 *
 * @param receiver - Caller.
 * @param outcome - End of the request.
 * @param ticket - Ticket for the caller to come back with, if one was issued.
 */
export function endAnswer(receiver: Receiver, outcome: Outcome, ticket?: string): void {
	const {response} = receiver;
	if (response.writableEnded || response.destroyed) {
		return;
	}

	if (outcome.type === 'done') {
		endDone(receiver, outcome);
	} else if (response.headersSent) {
		endBroken(receiver, outcome);
	} else {
		sendJson(receiver, outcome, complaint(receiver.request, outcome, ticket), ticket);
	}
}

function endDone(receiver: Receiver, outcome: Outcome): void {
	const {response, form, frames} = receiver;
	const isFramed = frames.length > 0 || String(response.getHeader('content-type')).startsWith(eventStream);
	if (form === 'stream' && response.headersSent && isFramed) {
		const summary = {choices: [], outcome: {type: nameOf(outcome), code: codeOf(outcome), request: receiver.request}};
		response.end(`data: ${JSON.stringify(summary)}\n\ndata: ${streamEnd}\n\n`);
	} else if (form === 'whole' && !response.headersSent) {
		sendJson(receiver, outcome, completion(receiver));
	} else {
		response.addTrailers({[outcomeHeader]: nameOf(outcome), [codeHeader]: String(codeOf(outcome))});
		response.end();
	}
}

function endBroken(receiver: Receiver, outcome: Outcome): void {
	const {response} = receiver;
	if (String(response.getHeader('content-type')).startsWith(eventStream)) {
		response.end(`event: error\ndata: ${JSON.stringify(complaint(receiver.request, outcome))}\n\n`);
	} else {
		response.destroy();
	}
}

function sendJson({response, request}: Receiver, outcome: Outcome, body: unknown, ticket?: string): void {
	const text = JSON.stringify(body);
	response.writeHead(statusOf(codeOf(outcome)), {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
		...outcomeHeaders(request, outcome, ticket),
	});
	response.end(text);
}

function completion({request, frames}: Receiver): unknown {
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
