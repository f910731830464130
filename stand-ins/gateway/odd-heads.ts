/** Responses whose heads can't be passed on, and failures whose bodies are long or have no end. */
import {type ServerResponse} from 'node:http';

/** How the response to a request that has run is odd. */
export const oddHeads = ['status-000', 'status-101', 'status-600', 'long-promise', 'endless-promise', 'endless-error'] as const;

/** Heads that break the grammar of HTTP, which some parsers accept. */
export const malformedHeads = ['spaced-name', 'spaced-colon', 'folded-line', 'folded-coding', 'control-name'] as const;

export type OddHead = typeof oddHeads[number] | typeof malformedHeads[number];

type OddResponse = {
	readonly status: string;
	readonly fields: string;
	readonly body: string;
	/** Whether the body is sent again and again. */
	readonly isEndless: boolean;
};

const longBytes = 1_300_000;
const pieceBytes = 1000;
const pieceIntervalMs = 20;
const piece = `${pieceBytes.toString(16)}\r\n${'x'.repeat(pieceBytes)}\r\n`;
const chunked = 'Transfer-Encoding: chunked\r\n';

function short(status: string): OddResponse {
	return {
		status, fields: 'Content-Length: 2\r\n', body: 'ok', isEndless: false,
	};
}

function malformed(line: string): OddResponse {
	return {...short('200 OK'), fields: `X-Before: 1\r\n${line}\r\nContent-Length: 2\r\n`};
}

const responses: Readonly<Record<OddHead, OddResponse>> = {
	'status-000': short('000 None'),
	'status-101': short('101 Switching Protocols'),
	'status-600': short('600 Odd'),
	'long-promise': {
		status: '503 Busy', fields: `Content-Length: ${longBytes}\r\n`, body: 'x'.repeat(longBytes), isEndless: false,
	},
	'endless-promise': {
		status: '429 Busy', fields: chunked, body: piece, isEndless: true,
	},
	'endless-error': {
		status: '500 Failed', fields: chunked, body: piece, isEndless: true,
	},
	'spaced-name': malformed('X Odd: 1'),
	'spaced-colon': malformed('Connection : keep-alive'),
	'folded-line': malformed(' X-Odd: 1'),
	'folded-coding': {
		status: '200 OK', fields: `X-Before: 1\r\n ${chunked}`, body: '2\r\nok\r\n0\r\n\r\n', isEndless: false,
	},
	'control-name': malformed('X\u0001Odd: 1'),
};

/**
 * @param fault - Fault of an upstream.
 * @returns Whether its responses are odd.
 */
export function isOddHead(fault: string): fault is OddHead {
	return Object.hasOwn(responses, fault);
}

/**
 * Sends an odd response, as its bytes.
 *
 * @param outgoing - Response of which nothing has been sent yet.
 * @param id - Id of the request.
 * @param signature - Signature of the upstream.
 * @param head - How it is odd.
 */
export function sendOddHead({socket}: ServerResponse, id: string, signature: string, head: OddHead): void {
	const {status, fields, body, isEndless} = responses[head];
	if (socket === null) {
		return;
	}

	socket.write(`HTTP/1.1 ${status}\r\nX-Request-Id: ${id}\r\nX-Response-Signature: ${signature}\r\n${fields}\r\n${body}`);
	if (isEndless) {
		const timer = setInterval(() => {
			socket.write(piece);
		}, pieceIntervalMs);
		socket.once('close', () => {
			clearInterval(timer);
		});
	} else {
		socket.end();
	}
}
