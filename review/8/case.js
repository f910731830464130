/** A server runs a payment and fails with 503, without saying that it has not run it; the body is long, and the gateway passes the status on. */
import {Buffer} from 'node:buffer';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, BackEnd, callerHeaders, isTroubled, runCase,
} from '../common-2/site.js';

/** Share of its requests that a grey server fails, as the site file has it. */
const failingShare = 0.45;

const paymentCount = 20;

/** Longer than what the gateway holds back. */
const errorBytes = 1_200_000;

/** A payment that fails with a short body, for comparison. */
const shortFailure = 'payment-short';

await runCase(path.resolve(import.meta.dirname), async (site, record) => {
	let received = 0;
	let failed = 0;
	const portal = new BackEnd({
		id: 'i-portal',
		service: 'coop-portal',
		slots: 6,
		record,
		async handle(incoming, outgoing) {
			const id = incoming.headers['x-request-id'];
			received++;
			await sleep(20);
			const isFailing = isTroubled && failed < received * failingShare;
			const head = {'X-Request-Id': id, 'X-Response-Signature': `sig-${id}`};
			if (isFailing) {
				failed++;
				const body = Buffer.alloc(id === shortFailure ? 100 : errorBytes, 'x');
				outgoing.writeHead(503, {...head, 'Content-Type': 'text/plain', 'Content-Length': body.length});
				outgoing.end(body);
				return;
			}

			outgoing.writeHead(200, {...head, 'Content-Length': 2});
			outgoing.end('ok');
		},
	});
	await site.start({backEnds: [portal]});
	const [gateway] = site.gateways;
	await sleep(3500);
	const answers = [];
	for (const id of [shortFailure, ...Array.from({length: paymentCount}, (_, index) => `payment-${index}`)]) {
		record.write(`client sends ${id}`);
		const answer = await ask({
			port: gateway.port, path: '/dues/1', method: 'POST', id, body: Buffer.from('12 dues'), headers: callerHeaders(2500),
		});
		const signature = answer.headers['x-response-signature'];
		record.write(`client gets ${answer.status} for ${id}, ${answer.isWhole ? 'whole' : answer.failure}, ${answer.body.length} bytes, signature ${signature ?? 'none'}`);
		answers.push({id, ...answer});
		await sleep(50);
	}

	const refused = answers.filter(({id, status, isWhole}) => status === 503 && isWhole && portal.runs.includes(id));
	return refused.length > 0 ? `${refused.length} of ${answers.length} payments were answered 503 and have run` : undefined;
});
