/** A terminal that remembers, and small HTTP servers on loopback. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {run} from '../program.js';

export async function command(words: readonly string[], input = '', environment: Readonly<Record<string, string>> = {}) {
	const written: string[] = [];
	const complained: string[] = [];
	const code = await run(words, {
		write(text) {
			written.push(text);
		},
		complain(text) {
			complained.push(text);
		},
		input: (async function * () {
			yield Buffer.from(input);
		})(),
		environment,
	});
	return {code, out: written.join(''), complaints: complained.join('')};
}

export type Handle = (request: IncomingMessage, response: ServerResponse, body: string) => void;

export async function serve(handle: Handle) {
	const server = createServer((request, response) => {
		let body = '';
		request.on('data', chunk => {
			body += String(chunk);
		});
		request.on('end', () => {
			handle(request, response, body);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' ? address?.port : undefined;
	return {
		address: `127.0.0.1:${port}`,
		async [Symbol.asyncDispose]() {
			server.closeAllConnections();
			server.close();
			await once(server, 'close');
		},
	};
}

export function sendJson(response: ServerResponse, value: unknown, status = 200, headers: Readonly<Record<string, string>> = {}): void {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(value));
}
