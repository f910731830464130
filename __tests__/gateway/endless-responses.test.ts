/** Upstreams that send bytes without end which are no answer: their requests go on elsewhere, and nothing of theirs is kept. */
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {createPromptHeaders} from '../../bench/gateway/caller-requests.js';
import {Site} from '../../bench/gateway/site.js';
import {getPort} from '../../src/entry/ports.js';

let site: Site | undefined;
let server: Server | undefined;
/** Connections that have carried a request. */
const connections = new Set<Socket>();

afterEach(async () => {
	await site?.[Symbol.asyncDispose]();
	for (const connection of connections) {
		connection.destroy();
	}

	server?.close();
	site = undefined;
});

const id = 'endless';
const head = (request: string, framing: string) => `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: ${request}\r\nX-Response-Signature: s\r\n${framing}\r\n`;
const block = 'x'.repeat(10_000);

type Sequence = {
	readonly first: (request: string) => string;
	/** Sent again and again. */
	readonly next: string;
};

const sequences: Readonly<Record<string, Sequence>> = {
	'interim responses': {first: () => '', next: 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'.repeat(200)},
	'an event in chunks': {first: request => `${head(request, 'Transfer-Encoding: chunked\r\n')}6\r\ndata: \r\n`, next: `${block.length.toString(16)}\r\n${block}\r\n`},
	'an event of a great length': {first: request => `${head(request, 'Content-Length: 900000000000\r\n')}data: `, next: block},
	'an event in a response that ends with its connection': {first: request => `${head(request, 'Connection: close\r\n')}data: `, next: block},
	'an event after another one': {first: request => `${head(request, 'Connection: close\r\n')}id: 1\ndata: piece 1\n\ndata: `, next: block},
	comments: {first: request => head(request, 'Connection: close\r\n'), next: ': nothing\n\n'.repeat(1000)},
};

/** Sends a sequence to each request until its connection is closed. */
async function listen(sequence: Sequence): Promise<number> {
	server = createServer(socket => {
		socket.on('error', () => undefined).once('close', () => {
			connections.delete(socket);
		});
		socket.on('data', chunk => {
			const request = /^x-request-id: (?<request>.*)$/imv.exec(String(chunk))?.groups?.request;
			if (request === undefined) {
				socket.write(`HTTP/1.1 200 OK\r\nX-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
				return;
			}

			connections.add(socket);
			socket.write(sequence.first(request));
			const send = () => {
				while (!socket.destroyed && socket.write(sequence.next)) {
					// Goes on until the buffers are full.
				}
			};

			socket.on('drain', send);
			send();
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return getPort(server);
}

it.each(Object.keys(sequences))('requests end at once, and may go on elsewhere, though their upstream sends %s without end', async name => {
	const port = await listen(sequences[name]!);
	const deployment = await Site.start({hosts: 1, engines: 0, plains: 1});
	site = deployment;
	deployment.store.put(`servers/${id}`, {
		Service: 'model', Address: `127.0.0.1:${port}`, Zone: 'a', Slots: 50, State: 'ready', born: 1,
	});
	await expect.poll(() => deployment.hosts[0]!.findLogLines('upstream').some(({upstream}) => upstream === id), {timeout: 5000}).toBe(true);
	const answers = await Promise.all(Array.from({length: 6}, async (_, index) => {
		await sleep(index * 100);
		return deployment.ask({path: '/ask/x', id: `r${index}`, headers: {...createPromptHeaders(1000, 5), 'X-Deadline-Ms': '8000'}});
	}));
	expect(answers.filter(({status, isWhole}) => status === 200 && isWhole)).toEqual([]);
	expect(Math.max(...answers.map(({took}) => took))).toBeLessThan(3000);
	await expect.poll(() => connections.size, {timeout: 2000}).toBe(0);
	const endings = deployment.hosts[0]!.findLogLines('attempt-ended').filter(({upstream}) => upstream === id);
	expect(endings.length).toBeGreaterThan(0);
	expect(endings.filter(({ending, reason}) => ending !== 'unknown' || !/^no event ended within 1000000 bytes|more than 16 interim responses$/v.test(String(reason)))).toEqual([]);
	// It counts against the upstream, but not as a crash of one that runs on.
	expect(deployment.hosts[0]!.findLogLines('suspected')).toEqual([]);
});
