/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- The mocks contain only the members that these tests use. */
/** Every framing and every end of an upstream's response: callers never take a response that broke off for a complete one. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer as createHttpServer} from 'node:http';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {type AttemptEnding} from '../../core/gateway/limits/retries.js';
import {CallerResponse} from '../callers/caller-response.js';
import {ResponseBuffers} from '../callers/response-buffers.js';
import {GatewayMetrics} from '../metrics.js';
import {type HeaderFormat} from '../platform-adapter.js';
import {type RequestTrace} from '../requests/trace.js';
import {Attempt} from '../upstreams/attempt.js';
import {UpstreamAgent} from '../upstreams/agent.js';

const headerFormat: HeaderFormat = {
	parseRequest: () => undefined,
	formatUpstreamHeaders: () => [],
	parseResponse: () => ({
		isSigned: true, isNotRun: false, isMisdirected: false, report: {isLeaving: false},
	}),
};

const trace = {
	write: () => undefined, noteEvents: () => undefined, finish: () => undefined,
} as unknown as RequestTrace;

const listener = {
	maxEventBytes: 1_000_000, maxBodyBytes: 100_000_000, yielding: undefined, leads: () => true, began: () => undefined, receivedEvents: () => undefined, stopped: () => undefined, resumed: () => undefined,
};

type Framing = 'chunks' | 'connection' | 'length' | 'other coding';

/** How the upstream ends its response; `framed` closes it as its framing demands. */
type End = 'closed' | 'framed' | 'reset';

type Response = {
	readonly framing: Framing;
	readonly end: End;
	readonly type?: string;
	readonly status?: number;
	/** Bytes that are sent. */
	readonly body: string;
	/** Bytes that a length announces; those of the body if absent. */
	readonly length?: number;
	readonly pause?: number;
};

type Received = {
	readonly body: string;
	/** Whether the caller takes it for a complete success. */
	readonly isWhole: boolean;
	readonly ending: AttemptEnding;
	/** Whether another attempt may go on with the response. */
	readonly canContinue: boolean;
};

const servers: Server[] = [];

afterEach(() => {
	for (const server of servers.splice(0)) {
		server.close();
	}
});

async function listen(server: Server): Promise<number> {
	servers.push(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return (server.address() as AddressInfo).port;
}

function formatHead({framing, body, length, type = 'text/event-stream', status = 200}: Response): string {
	const frame = {
		chunks: 'Transfer-Encoding: chunked\r\n', connection: '', length: `Content-Length: ${length ?? body.length}\r\n`, 'other coding': 'Transfer-Encoding: x-none\r\n',
	}[framing];
	return `HTTP/1.1 ${status} OK\r\nContent-Type: ${type}\r\n${frame}\r\n`;
}

async function sendResponse(socket: Socket, response: Response): Promise<void> {
	const {framing, body, end, pause = 10} = response;
	socket.write(formatHead(response));
	if (body.length > 0) {
		socket.write(framing === 'chunks' ? `${body.length.toString(16)}\r\n${body}\r\n` : body);
	}

	await sleep(pause);
	switch (end) {
		case 'framed': {
			if (framing === 'chunks') {
				socket.write('0\r\n\r\n');
			} else if (framing !== 'length') {
				socket.end();
			}

			return;
		}

		case 'closed': {
			socket.end();
			return;
		}

		case 'reset': {
			socket.resetAndDestroy();
		}
	}
}

/** Forwards a response to a caller that speaks the given version of HTTP, as one attempt after which the request is concluded. */
async function forward(response: Response, {version = '1.1', budget, cancelAfter}: {readonly version?: string; readonly budget?: number; readonly cancelAfter?: number} = {}): Promise<Received> {
	const upstream = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			void sendResponse(socket, response);
		});
	});
	const port = await listen(upstream);
	const agent = new UpstreamAgent();
	const endings: Array<Pick<Received, 'canContinue' | 'ending'>> = [];
	const gateway = createHttpServer((_, outgoing) => {
		void (async () => {
			const buffers = new ResponseBuffers({budget, clock: {now: () => performance.now()}, metrics: new GatewayMetrics()});
			const callerResponse = new CallerResponse(outgoing, trace, () => 0, buffers);
			const attempt = new Attempt({
				id: 'r', method: 'GET', path: '/', headers: ['Host', 'a'], body: Buffer.alloc(0), address: {host: '127.0.0.1', port}, isIdempotent: false, maxInterimResponses: 16,
			}, headerFormat, agent);
			if (cancelAfter !== undefined) {
				setTimeout(() => {
					attempt.cancel('silent');
				}, cancelAfter);
			}

			const reply = await attempt.reply();
			const ending = reply.type === 'ended' ? reply.ending : await callerResponse.forward(reply, listener);
			const {canContinue} = callerResponse;
			if (ending.type !== 'answered') {
				callerResponse.conclude('outcomeUnknown', undefined);
			}

			endings.push({ending, canContinue});
		})();
	});
	const caller = connect(await listen(gateway), '127.0.0.1');
	const chunks: Buffer[] = [];
	let isReset = false;
	caller.on('data', chunk => {
		chunks.push(chunk);
	}).on('error', () => {
		isReset = true;
	}).prependOnceListener('end', () => {
		// A reset that arrives with the last bytes is reported as an end, but a write fails.
		caller.write('\r\n');
	});
	caller.write(`GET / HTTP/${version}\r\nHost: a\r\nConnection: close\r\n\r\n`);
	await new Promise(resolve => {
		caller.once('close', resolve);
	});
	await expect.poll(() => endings.length).toBe(1);
	agent.destroy();
	return {...parseReceived(Buffer.concat(chunks).toString('latin1'), isReset), ...endings[0]!};
}

/** Returns the bytes of chunks, and whether the last one was received. */
function decodeChunks(text: string): {readonly body: string; readonly isWhole: boolean} {
	let body = '';
	for (let at = 0; at < text.length;) {
		const line = text.indexOf('\r\n', at);
		const length = Number.parseInt(text.slice(at, line), 16);
		if (line === -1 || length === 0) {
			return {body, isWhole: length === 0};
		}

		body += text.slice(line + 2, line + 2 + length);
		at = line + 2 + length + 2;
	}

	return {body, isWhole: false};
}

function parseReceived(text: string, isReset: boolean): Pick<Received, 'body' | 'isWhole'> {
	const start = text.indexOf('\r\n\r\n') + 4;
	const head = text.slice(0, start).toLowerCase();
	const isSuccess = /^http\/1.1 2/v.test(head);
	const rest = text.slice(start);
	if (head.includes('transfer-encoding: chunked')) {
		const {body, isWhole} = decodeChunks(rest);
		return {body, isWhole: isSuccess && isWhole};
	}

	const length = /content-length: (\d+)/v.exec(head)?.[1];
	return {body: rest, isWhole: isSuccess && (length === undefined ? !isReset : rest.length === Number(length))};
}

const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const inside = `${events}id: 3\nda`;
const framings: readonly Framing[] = ['chunks', 'connection', 'length', 'other coding'];

describe.each(framings)('a response framed by %s', framing => {
	describe.each(['1.0', '1.1'])('to a caller with HTTP/%s', version => {
		it('is complete if it ends as its framing demands', async () => {
			expect(await forward({framing, end: 'framed', body: events}, {version})).toMatchObject({isWhole: true, ending: {type: 'answered'}});
			expect(await forward({
				framing, end: 'framed', body: 'x'.repeat(2_000_000), type: 'text/plain',
			}, {version})).toMatchObject({isWhole: true, ending: {type: 'answered'}});
		});

		it('never looks complete if a stream ends inside an event', async () => {
			for (const end of ['framed', 'closed', 'reset'] as const) {
				const received = await forward({
					framing, end, body: inside, length: end === 'framed' ? inside.length : 100,
				}, {version});
				expect(received).toMatchObject({isWhole: false, ending: {type: 'unknown'}});
				expect(received.body.includes('id: 3')).toBe(false);
			}
		});

		it('never looks complete if a stream ends inside an event that is longer than events are held', async () => {
			const body = `${events}id: 3\ndata: ${'x'.repeat(1_500_000)}`;
			for (const end of ['framed', 'closed', 'reset'] as const) {
				expect(await forward({
					framing, end, body, length: end === 'framed' ? body.length : body.length * 2,
				}, {version})).toMatchObject({isWhole: false, ending: {type: 'unknown'}});
			}
		});

		it('never looks complete if it is reset', async () => {
			for (const body of [events, 'x'.repeat(2_000_000)]) {
				for (const pause of [0, 20]) {
					const response: Response = {
						framing, end: 'reset', body, length: body.length * 2, pause, type: body === events ? undefined : 'text/plain',
					};
					expect(await forward(response, {version})).toMatchObject({isWhole: false, ending: {type: 'unknown'}});
				}
			}
		});

		it('never looks complete if a body that is passed on for lack of memory is reset', async () => {
			const response: Response = {
				framing, end: 'reset', body: 'x'.repeat(100_000), length: 200_000, type: 'text/plain',
			};
			expect(await forward(response, {version, budget: 1})).toMatchObject({isWhole: false});
		});

		it('never looks complete if this host cancels the attempt', async () => {
			const response: Response = {
				framing, end: 'closed', body: events, length: 100, pause: 400,
			};
			expect(await forward(response, {version, cancelAfter: 100})).toMatchObject({isWhole: false, ending: {type: 'unknown'}});
		});
	});
});

describe('a stream', () => {
	it('is a stream whatever the case of its media type and its success status', async () => {
		expect(await forward({
			framing: 'connection', end: 'framed', body: inside, type: 'Text/Event-Stream; charset=utf-8',
		})).toMatchObject({isWhole: false});
		expect(await forward({
			framing: 'connection', end: 'framed', body: inside, status: 201,
		})).toMatchObject({isWhole: false});
	});

	it('that ends with its connection before the first event has been broken off', async () => {
		expect(await forward({framing: 'connection', end: 'framed', body: ''})).toMatchObject({ending: {type: 'unknown'}});
	});

	it.each(['\n', ': the end\n\n', '\r\n'])('is complete if only %j follows its last event', async rest => {
		expect(await forward({framing: 'connection', end: 'framed', body: events + rest})).toMatchObject({isWhole: true, body: events + rest});
	});

	it.each(['\r', '\r\n'])('may end its lines with %j', async line => {
		const body = events.replaceAll('\n', line);
		expect(await forward({framing: 'connection', end: 'framed', body})).toMatchObject({isWhole: true, body});
		expect(await forward({framing: 'connection', end: 'framed', body: `${body}id: 3`})).toMatchObject({isWhole: false, body});
	});
});

describe('an answer that broke off', () => {
	it.each([
		['before its first event', ''],
		['after an event with an id', events],
		['inside an event after one with an id', inside],
		['after a comment that follows an event with an id', `${events}: pause\n\n`],
	])('can be continued by another attempt %s', async (_, body) => {
		expect(await forward({framing: 'chunks', end: 'closed', body})).toMatchObject({ending: {type: 'unknown'}, canContinue: true});
	});

	it.each([
		['after an event without an id, which would come twice', `${events}data: c\n\n`],
		['after an event whose id no header can carry', `${events}id: \u007F\ndata: c\n\n`],
	])('is not continued %s', async (_, body) => {
		expect(await forward({framing: 'chunks', end: 'closed', body})).toMatchObject({isWhole: false, canContinue: false});
	});

	it.each(['framed', 'closed', 'reset'] as const)('is given up before any part of an event that is too long is sent, however it ends (%s)', async end => {
		const body = `${events}id: 3\ndata: ${'x'.repeat(1_500_000)}\n\n`;
		expect(await forward({framing: 'chunks', end, body})).toMatchObject({
			body: events, isWhole: false, canContinue: true, ending: {type: 'unknown', reason: 'no event ended within 1000000 bytes'},
		});
	});

	it('is not continued in the middle of a long body', async () => {
		const response: Response = {
			framing: 'chunks', end: 'closed', body: 'x'.repeat(1_500_000), type: 'text/plain',
		};
		expect(await forward(response)).toMatchObject({isWhole: false, canContinue: false});
	});
});

it.each([204, 304])('doesn\'t wait for the end of the connection after a response with status %i', async status => {
	const began = performance.now();
	await forward({
		framing: 'connection', end: 'framed', body: '', status, type: 'text/plain', pause: 1500,
	});
	expect(performance.now() - began).toBeLessThan(1000);
});
