/** The platform sends SIGTERM twice; the second one ends the gateway at once, with the requests that it has accepted. */
import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, BackEnd, callerHeaders, isTroubled, runCase,
} from '../common-2/site.js';

const streamCount = 8;

/** A stream lasts 4 s, and ends long before the grace period of 8 s. */
const eventCount = 20;
const pauseMs = 200;

/** Milliseconds from the first signal to the second one. */
const signalGapMs = 1000;

await runCase(path.resolve(import.meta.dirname), async (site, record) => {
	const engine = new BackEnd({
		id: 'i-engine',
		service: 'cranberrytide-pool',
		record,
		async handle(incoming, outgoing) {
			const id = incoming.headers['x-request-id'];
			outgoing.writeHead(200, {'Content-Type': 'text/event-stream', 'X-Request-Id': id, 'X-Response-Signature': `sig-${id}`});
			for (let event = 1; event <= eventCount && !outgoing.destroyed; event++) {
				outgoing.write(`id: ${event}\ndata: piece ${event}\n\n`);
				await sleep(pauseMs);
			}

			outgoing.end();
		},
	});
	await site.start({backEnds: [engine]});
	const [gateway] = site.gateways;
	await sleep(3500);
	const agent = new Agent({keepAlive: true});
	const streams = Array.from({length: streamCount}, async (_, index) => {
		const id = `stream-${index}`;
		record.write(`client sends ${id}`);
		const answer = await ask({
			port: gateway.port, path: '/crew/1', method: 'POST', id, agent, body: Buffer.from('a question'), headers: callerHeaders(10_000, {'X-Model': 'm', 'X-Token-Count': '1000,860'}),
		});
		const pieces = [...answer.body.matchAll(/^id: \d+$/gmv)].length;
		record.write(`client gets ${answer.status} for ${id}, ${answer.isWhole ? 'complete' : `broken off (${answer.failure})`}, ${pieces} of ${eventCount} pieces`);
		return answer;
	});
	await sleep(500);
	record.write('the platform sends SIGTERM');
	gateway.child.kill('SIGTERM');
	if (isTroubled) {
		await sleep(signalGapMs);
		record.write('the platform sends SIGTERM again');
		gateway.child.kill('SIGTERM');
	}

	const answers = await Promise.all(streams);
	const lost = answers.filter(({isWhole}) => !isWhole);
	record.write(`the gateway ended with ${gateway.child.signalCode ?? gateway.child.exitCode ?? 'nothing yet'}`);
	return lost.length > 0 ? `${lost.length} of ${answers.length} requests that the gateway had read and passed on have no complete answer` : undefined;
});
