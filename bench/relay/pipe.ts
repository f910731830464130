#!/usr/bin/env node
/** The least that a relay can do: passes bytes between a caller and one engine. The baseline of the relay benchmark. */
import http from 'node:http';
import process from 'node:process';
import {Command} from 'commander';
import {z} from 'zod';

const settingsSchema = z.object({engines: z.array(z.object({host: z.string(), port: z.number()})).min(1)});

/** Path at which the processor time is told. */
const costPath = '/cost';

function tellCost(response: http.ServerResponse): void {
	response.end(JSON.stringify({processor: process.cpuUsage()}));
}

function start(settings: z.infer<typeof settingsSchema>): void {
	let turn = 0;
	const agent = new http.Agent({keepAlive: false});
	const server = http.createServer((request, response) => {
		if (request.url === costPath) {
			tellCost(response);
			return;
		}

		const {host, port} = settings.engines[turn++ % settings.engines.length]!;
		const onward = http.request({
			agent,
			host,
			port,
			path: request.url,
			method: request.method,
			headers: request.headers,
		}, answer => {
			response.writeHead(answer.statusCode ?? 0, answer.headers);
			answer.pipe(response);
		});
		request.pipe(onward);
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
