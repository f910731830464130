/** Runs commands on a terminal that records its output, and HTTP servers on loopback in place of hosts. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {runCommandLine} from '../program.js';

export async function runCommand(commandArguments: readonly string[], input = '', environment: Readonly<Record<string, string>> = {}) {
	const written: string[] = [];
	const complaints: string[] = [];
	const code = await runCommandLine(commandArguments, {
		write(text) {
			written.push(text);
		},
		complain(text) {
			complaints.push(text);
		},
		input: (async function * () {
			yield Buffer.from(input);
		})(),
		environment,
	});
	return {code, out: written.join(''), complaints: complaints.join('')};
}

export type RequestHandler = (request: IncomingMessage, response: ServerResponse, body: string) => void;

export async function startServer(handleRequest: RequestHandler) {
	const server = createServer((request, response) => {
		let body = '';
		request.on('data', chunk => {
			body += String(chunk);
		});
		request.on('end', () => {
			handleRequest(request, response, body);
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
