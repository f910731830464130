#!/usr/bin/env node
/** A minimal relay that passes bytes between a caller and an engine: the baseline of the relay benchmark. */
import http from 'node:http';
import process from 'node:process';
import {Command} from 'commander';
import {z} from 'zod';

const settingsSchema = z.object({engines: z.array(z.object({host: z.string(), port: z.number()})).min(1)});

/** Path that returns the processor time used so far. */
const costPath = '/cost';

function sendCost(response: http.ServerResponse): void {
	response.end(JSON.stringify({processor: process.cpuUsage()}));
}

function start(settings: z.infer<typeof settingsSchema>): void {
	let requestCount = 0;
	const agent = new http.Agent({keepAlive: false});
	const server = http.createServer((request, response) => {
		if (request.url === costPath) {
			sendCost(response);
			return;
		}

		const {host, port} = settings.engines[requestCount++ % settings.engines.length]!;
		const engineRequest = http.request({
			agent,
			host,
			port,
			path: request.url,
			method: request.method,
			headers: request.headers,
		}, engineResponse => {
			response.writeHead(engineResponse.statusCode ?? 0, engineResponse.headers);
			engineResponse.pipe(response);
		});
		request.pipe(engineRequest);
	});
	server.listen(0, '127.0.0.1', () => {
		const address = server.address();
		const port = typeof address === 'object' ? address?.port : undefined;
		process.stdout.write(`${JSON.stringify({event: 'ready', port})}\n`);
	});
	process.once('SIGTERM', () => {
		server.close();
		server.closeAllConnections();
	});
}

new Command('pipe')
	.requiredOption('--settings <json>', 'engine addresses')
	.action(({settings}: {readonly settings: string}) => {
		start(settingsSchema.parse(JSON.parse(settings)));
	})
	.parse();
