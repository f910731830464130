/** An engine sends comment lines in place of the answer to one stream; afterwards the gateway answers nobody. */
import {Buffer} from 'node:buffer';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, BackEnd, callerHeaders, isTroubled, runCase,
} from '../common-2/site.js';

/** Of the route of the bookings, and what the rule allows beyond it. */
const timeoutMs = 2500;
const graceMs = 500;

const troubledRequest = 'stream-troubled';

await runCase(path.dirname(process.argv[1]), async (site, record) => {
	const engine = new BackEnd({
		id: 'i-engine',
		service: 'cranberrytide-pool',
		record,
		async handle(incoming, outgoing) {
			const id = incoming.headers['x-request-id'];
			outgoing.writeHead(200, {'Content-Type': 'text/event-stream', 'X-Request-Id': id, 'X-Response-Signature': `sig-${id}`});
			if (isTroubled && id === troubledRequest) {
				// Bytes without end: comments, and an event that nobody asked for after each 60 of them.
				let lines = 0;
				while (!outgoing.destroyed) {
					lines++;
					outgoing.write(lines % 60 === 0 ? 'retry: 1000\r\n\r\n' : ': the engine waits\r\n');
					await sleep(10);
				}

				return;
			}

			for (let event = 1; event <= 5; event++) {
				outgoing.write(`id: ${event}\r\ndata: piece ${event}\r\n\r\n`);
				await sleep(20);
			}

			outgoing.end();
		},
	});
	const portal = new BackEnd({
		id: 'i-portal',
		service: 'coop-portal',
		record,
		async handle(incoming, outgoing) {
			await sleep(20);
			const id = incoming.headers['x-request-id'];
			outgoing.writeHead(200, {'X-Request-Id': id, 'X-Response-Signature': `sig-${id}`, 'Content-Length': 2});
			outgoing.end('ok');
		},
	});
	await site.start({backEnds: [engine, portal]});
	const [gateway] = site.gateways;
	// The machine is in touch for the rule after 3 s.
	await sleep(3500);
	const stream = ask({
		port: gateway.port,
		path: '/crew/1',
		method: 'POST',
		id: troubledRequest,
		body: Buffer.from('a question'),
		timeout: 12_000,
		headers: callerHeaders(10_000, {'X-Model': 'm', 'X-Token-Count': '1000,200'}),
	});
	await sleep(1500);
	const answers = await Promise.all(Array.from({length: 20}, async (_, index) => {
		await sleep(index * 100);
		const id = `booking-${index}`;
		record.write(`client sends ${id}`);
		const answer = await ask({
			port: gateway.port, path: `/booking/${index}`, id, timeout: timeoutMs + graceMs, headers: callerHeaders(2500),
		});
		record.write(`client gets ${answer.status} for ${id} after ${answer.took} ms, ${answer.isWhole ? 'whole' : answer.failure}`);
		return answer;
	}));
	const missing = answers.filter(({status, isWhole}) => status === 0 || !isWhole);
	const isReady = await gateway.isReady();
	record.write(`the gateway ${gateway.isRunning ? 'runs' : 'has ended'}, ready: ${isReady}, stream: ${JSON.stringify(await stream)}`);
	return missing.length > answers.length / 2 ? `${missing.length} of ${answers.length} bookings have no answer ${graceMs} ms after the timeout of their route` : undefined;
});
