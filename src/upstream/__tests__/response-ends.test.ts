/** Every framing and every end of a response of a plain service or an engine: one that broke off never counts as done. */
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {type Ending} from '../../core/index.js';
import {FrameFollower} from '../follower.js';
import {runOnPlain} from '../plain.js';

let server: Server | undefined;

afterEach(() => {
	server?.close();
	server = undefined;
});

type End = 'closed' | 'last chunk' | 'reset';

async function send(socket: Socket, text: string, end: End): Promise<void> {
	socket.on('error', () => undefined);
	socket.write(text);
	await sleep(10);
	switch (end) {
		case 'closed': {
			socket.end();
			return;
		}

		case 'last chunk': {
			socket.write('0\r\n\r\n');
			return;
		}

		case 'reset': {
			socket.resetAndDestroy();
		}
	}
}

/** Sends a call to a service that responds with the text, then ends as stated. */
async function call(text: string, end: End): Promise<Ending> {
	server = createServer(socket => {
		socket.once('data', () => {
			void send(socket, text, end);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' ? address!.port : 0;
	return runOnPlain({
		address: {host: '127.0.0.1', port}, method: 'GET', path: '/', headers: {}, body: new Uint8Array(), isRepeatable: false, signal: new AbortController().signal,
	}, {written: () => undefined, head: () => undefined, bytes: () => undefined});
}

const head = (lines: string, type = 'text/plain') => `HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\n${lines}\r\n`;
const stream = 'text/event-stream';
const event = 'data: a\n\n';

describe('a response of a plain service', () => {
	it.each([
		['with a length', `${head('Content-Length: 3\r\n')}abc`, 'closed'],
		['in chunks', `${head('Transfer-Encoding: chunked\r\n')}3\r\nabc\r\n`, 'last chunk'],
		['that ends with its connection', `${head('')}abc`, 'closed'],
		['that is a stream and ends with its connection', head('', stream) + event, 'closed'],
	] as const)('is done %s', async (_, text, end) => {
		expect(await call(text, end)).toMatchObject({type: 'done'});
	});

	it.each([
		['with a length', `${head('Content-Length: 5\r\n')}abc`, 'closed'],
		['in chunks', `${head('Transfer-Encoding: chunked\r\n')}3\r\nabc\r\n`, 'closed'],
		['that ends with its connection', `${head('')}abc`, 'reset'],
		['with a coding other than chunked', `${head('Transfer-Encoding: x-none\r\n')}abc`, 'reset'],
		['that is a stream and ends inside an event with its connection', `${head('', stream)}${event}data: b`, 'closed'],
		['that is a stream and ends inside an event with the last chunk', `${head('Transfer-Encoding: chunked\r\n', stream)}7\r\ndata: b\r\n`, 'last chunk'],
	] as const)('is not done if it broke off %s', async (_, text, end) => {
		expect(await call(text, end)).toMatchObject({type: 'unknown', relayed: true});
	});
});

it('frames of a resumed engine stream are read from their first byte after one that broke off inside a character', () => {
	const frames: string[] = [];
	const follower = new FrameFollower('a', {
		written: () => undefined, stray: () => undefined, frame(_, data) {
			frames.push(data);
			return undefined;
		},
	});
	follower.startConnection();
	void follower.feed(new TextEncoder().encode('id: a/0\ndata: one\n\nid: a/1\ndata: ü').subarray(0, -1));
	follower.startConnection();
	void follower.feed(new TextEncoder().encode('id: a/1\ndata: zwei\n\n'));
	expect(frames).toEqual(['one', 'zwei']);
});
