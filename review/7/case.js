/** One of three servers runs payments and fails with 503, without saying that it has not run them; the body is long, and the gateway passes the status on. */
import {Buffer} from 'node:buffer';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, BackEnd, callerHeaders, isTroubled, runCase,
} from '../common-2/site.js';

/** Share of its requests that a grey server fails, as the site file has it. */
const failingShare = 0.45;

/** One of three, as the share of the site file is that of one server at least. */
const serverCount = 3;

const paymentCount = 60;

/** Longer than what the gateway holds back. */
const errorBytes = 1_200_000;

/** One failure has a short body, for comparison: the gateway avoids the server after it. */
const shortFailure = 4;
const shortErrorBytes = 100;

await runCase(path.dirname(process.argv[1]), async (site, record) => {
	let received = 0;
	let failed = 0;
	const createPortal = (id, isGrey) => new BackEnd({
		id,
		service: 'coop-portal',
		slots: 6,
		record,
		async handle(incoming, outgoing) {
			const requestId = incoming.headers['x-request-id'];
			await sleep(20);
			received += isGrey ? 1 : 0;
			const isFailing = isTroubled && isGrey && failed < Math.floor(received * failingShare);
			const head = {'X-Request-Id': requestId, 'X-Response-Signature': `sig-${requestId}`};
			if (isFailing) {
				failed++;
				const body = Buffer.alloc(failed === shortFailure ? shortErrorBytes : errorBytes, 'x');
				outgoing.writeHead(503, {...head, 'Content-Type': 'text/plain', 'Content-Length': body.length});
				outgoing.end(body);
				return;
			}

			outgoing.writeHead(200, {...head, 'Content-Length': 2});
			outgoing.end('ok');
		},
	});
	const portals = Array.from({length: serverCount}, (_, index) => createPortal(`i-portal-${index + 1}`, index === 0));
	await site.start({backEnds: portals});
	const [gateway] = site.gateways;
	await sleep(3500);
	const answers = [];
	for (const id of Array.from({length: paymentCount}, (_, index) => `payment-${index}`)) {
		record.write(`client sends ${id}`);
		const answer = await ask({
			port: gateway.port, path: '/dues/1', method: 'POST', id, body: Buffer.from('12 dues'), headers: callerHeaders(2500),
		});
		const signature = answer.headers['x-response-signature'];
		record.write(`client gets ${answer.status} for ${id}, ${answer.isWhole ? 'whole' : answer.failure}, ${answer.body.length} bytes, signature ${signature ?? 'none'}`);
		answers.push({id, ...answer});
		await sleep(50);
	}

	const refused = answers.filter(({id, status, isWhole}) => status === 503 && isWhole && portals.some(({runs}) => runs.includes(id)));
	record.write(`i-portal-1 got ${received} payments and failed ${failed}`);
	return refused.length > 0 ? `${refused.length} of ${answers.length} payments were answered 503 and have run` : undefined;
});
