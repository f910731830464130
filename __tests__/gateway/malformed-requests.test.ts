/** Callers whose requests break the grammar of HTTP: no upstream gets a request other than the one that was read. */
import {once} from 'node:events';
import {connect} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {apiKey} from '../../bench/gateway/configuration.js';
import {Site} from '../../bench/gateway/site.js';

let site: Site;
let requestCount = 0;

function createRequest(id: string, line: string, body: string): string {
	return `POST /once/${id} HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer ${apiKey}\r\nX-Request-Id: ${id}\r\n${line}\r\n${body}`;
}

/** Sends bytes to the host, and returns what it answers until the connection ends. */
async function send(text: string): Promise<string> {
	const {host, port} = site.hosts[0]!.caller;
	const socket = connect({host, port});
	let answer = '';
	socket.on('error', () => undefined).on('data', chunk => {
		answer += chunk.toString('latin1');
	});
	socket.write(text, 'latin1');
	const timer = setTimeout(() => {
		socket.destroy();
	}, 1000);
	await once(socket, 'close');
	clearTimeout(timer);
	return answer;
}

const lines = [
	'X Odd: 1', 'X-Odd : 1', ': 1', 'Connection : close', 'Upgrade : odd', 'X\u0001Odd: 1', 'X-Odd: 1\u0000', 'X-Odd: 1\u007F', 'Content-Length : 10', 'Content- Length: 10', 'Transfer-Encoding : chunked',
];

describe.each([
	['as it is', []],
	['lenient', ['--insecure-http-parser']],
])('a malformed request reaches no upstream where the parser of Node.js is %s', (_name, nodeOptions) => {
	beforeAll(async () => {
		site = await Site.start({engines: 0, plains: 1, nodeOptions});
	});
	afterAll(async () => {
		await site[Symbol.asyncDispose]();
	});

	it.each(lines)('%j, nor does what follows it', async line => {
		requestCount += 2;
		const ids = [`m${requestCount - 1}`, `m${requestCount}`] as const;
		const answer = await send(createRequest(ids[0], `${line}\r\n`, createRequest(ids[1], 'Content-Length: 0\r\n', '')));
		expect(answer === '' || answer.startsWith('HTTP/1.1 400 ')).toBe(true);
		expect(site.plains[0]!.arrivals.map(({request}) => request).filter(request => (ids as readonly string[]).includes(request))).toEqual([]);
		expect(site.hosts[0]!.findLogLines('exchange-failed')).toEqual([]);
		// Nothing of it is left at the host.
		await site.ask({path: '/once/x', id: `after-${requestCount}`});
		expect(site.hosts[0]!.findLogLines('placed', `after-${requestCount}`).map(({jobs}) => jobs)).toEqual([1]);
	});
});
