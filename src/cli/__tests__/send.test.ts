import {type ServerResponse} from 'node:http';
import {describe, expect, it} from 'vitest';
import {
	runCommand, sendJson, startServer, type RequestHandler,
} from './fakes.js';

const key = {CRANBERRYTIDE_KEY: 'secret'};
const unreachableAddress = '127.0.0.1:1';

function frame(offset: number, content: string): string {
	return `id: token:${offset + 1}\ndata: ${JSON.stringify({attempt: 'x', offset, choices: [{index: 0, delta: {content}}]})}\n\n`;
}

const end = 'data: {"choices":[],"outcome":{"type":"done","code":0}}\n\ndata: [DONE]\n\n';

function stream(response: ServerResponse, ...parts: readonly string[]): void {
	response.writeHead(200, {'content-type': 'text/event-stream'});
	for (const part of parts) {
		response.write(part);
	}
}

function refuse(response: ServerResponse, code: number, status: number, ticket?: string): void {
	sendJson(response, {
		error: {
			message: 'No.', type: 'not run', code, ticket,
		},
	}, status, {'x-result-code': String(code)});
}

async function send(handleRequest: RequestHandler, ...extraArguments: readonly string[]) {
	await using host = await startServer(handleRequest);
	const result = await runCommand(['send', '--service', 'check', '--hosts', `${unreachableAddress},${host.address}`, ...extraArguments], 'Hello', key);
	return result;
}

describe('send', () => {
	it('writes a stream as it arrives, from the first reachable host', async () => {
		const {code, out} = await send((request, response, body) => {
			expect(request.headers.authorization).toBe('Bearer secret');
			expect(JSON.parse(body)).toMatchObject({model: 'check', stream: true, messages: [{content: 'Hello'}]});
			stream(response, frame(0, 'Good '), frame(1, 'day'), end);
			response.end();
		});
		expect({code, out}).toEqual({code: 0, out: 'Good day\n'});
	});

	it('resumes an interrupted stream without a gap or a repetition', async () => {
		const {code, out} = await send((request, response) => {
			if (request.headers['last-event-id'] === 'token:1') {
				stream(response, frame(1, 'day'), end);
				response.end();
			} else {
				stream(response, frame(0, 'Good '));
				setTimeout(() => {
					response.destroy();
				}, 50);
			}
		});
		expect({code, out}).toEqual({code: 0, out: 'Good day\n'});
	});

	it('repeats the request with the ticket that the host issued', async () => {
		const seen: unknown[] = [];
		const {code, out} = await send((request, response) => {
			seen.push(request.headers['x-ticket']);
			if (request.headers['x-ticket'] === undefined) {
				refuse(response, 1006, 428, 't1');
			} else {
				sendJson(response, {choices: [{message: {content: 'Once'}}]}, 200, {'x-result-code': '0'});
			}
		}, '--once', '--whole');
		expect({code, out, seen}).toEqual({code: 0, out: 'Once\n', seen: [undefined, 't1']});
	});

	it('does not repeat a non-idempotent request that may have run', async () => {
		let runs = 0;
		const {code} = await send((_request, response) => {
			runs += 1;
			response.destroy();
		});
		expect({code, runs}).toEqual({code: 40, runs: 1});
	});

	it('repeats an idempotent request', async () => {
		let runs = 0;
		const {code} = await send((_request, response) => {
			runs += 1;
			if (runs === 1) {
				response.destroy();
			} else {
				stream(response, end);
				response.end();
			}
		}, '--idempotent');
		expect({code, runs}).toEqual({code: 0, runs: 2});
	});

	it.each([
		[1002, 401, 10],
		[2001, 503, 20],
		[3001, 502, 30],
		[4002, 502, 40],
	])('exits with the class of result code %i', async (result, status, expected) => {
		const {code, complaints} = await send((_request, response) => {
			refuse(response, result, status);
		});
		expect(code).toBe(expected);
		expect(complaints).toContain(`error ${result}: not run: No.`);
	});

	it('reports an error inside a stream', async () => {
		const {code, out} = await send((_request, response) => {
			stream(response, frame(0, 'Go'), 'event: error\ndata: {"error":{"message":"Cut.","type":"failed","code":3003}}\n\n');
			response.end();
		});
		expect({code, out}).toEqual({code: 30, out: 'Go'});
	});

	it('calls a plain service', async () => {
		const {code, out} = await send((request, response, body) => {
			sendJson(response, {method: request.method, url: request.url, body});
		}, '--path', 'bookings/1?x=2', '--method', 'put');
		expect(code).toBe(0);
		expect(JSON.parse(out)).toEqual({method: 'PUT', url: '/v1/services/check/bookings/1?x=2', body: 'Hello'});
	});

	it('fails if no host is reachable', async () => {
		expect(await runCommand(['send', '--service', 'check', '--hosts', unreachableAddress], 'Hello', key)).toMatchObject({code: 20});
		expect(await runCommand(['send', '--service', 'check', '--hosts', unreachableAddress], 'Hello')).toMatchObject({code: 70});
	});
});
