/** Hosts that choose the same engine at the same time: one of the requests is rerouted before it is delayed. */
import {createConnection} from 'node:net';
import {expect, it} from 'vitest';
import {parseEventIds, createPromptHeaders} from '../../bench/gateway/caller-requests.js';
import {Site} from '../../bench/gateway/site.js';
import {ignore} from '../../src/entry/ignore.js';
import {Link} from '../../src/gateway/peers/link.js';
import {type WireJob} from '../../src/gateway/peers/load-messages.js';
import {type Message} from '../../src/gateway/peers/messages.js';

/** A request yields only within 100 ms after it was sent; on a busy machine the peer's load update may arrive later. */
const maxAttempts = 6;

it('a prompt whose engine a peer chose first is rerouted once to another engine and answered completely', {timeout: 30_000}, async () => {
	await using site = await Site.start({engines: 3});
	const host = site.hosts[0]!;
	const createCompetingUpdate = (job: WireJob): Message => ({
		type: 'load',
		began: [{
			...job, id: `peer.${job.id}`, host: undefined, prompt: 1000, read: 4000, readPerPass: 4000, age: job.age + 50,
		}],
		progressed: [],
		ended: [],
	});
	const link = new Link(createConnection(host.peer), true, {
		hello: ignore,
		message(self, message) {
			for (const job of message.type === 'load' ? message.began : []) {
				self.send(createCompetingUpdate(job));
			}
		},
		closed: ignore,
	});
	link.send({
		type: 'hello',
		from: {
			name: 'peer', failureDomain: 'a', address: {host: '127.0.0.1', port: 1}, started: 1,
		},
		known: [],
	});
	await expect.poll(() => host.findLogLines('peer-linked').length, {timeout: 3000}).toBe(1);

	let reroutedId: string | undefined;
	for (let index = 0; index < maxAttempts && reroutedId === undefined; index++) {
		const id = `met-${index}`;
		const answer = await site.ask({path: '/ask/x', id, headers: createPromptHeaders(40_000, 3)});
		expect(parseEventIds(answer)).toEqual([1, 2, 3]);
		reroutedId = host.findLogLines('moving', id).length > 0 ? id : undefined;
	}

	expect(reroutedId).toBeDefined();
	const runs = site.ledger.findRuns(reroutedId ?? '').map(run => run.upstream);
	expect(runs.length).toBeLessThanOrEqual(2);
	await expect.poll(() => host.findLogLines('ended', reroutedId)).toMatchObject([{outcome: 'answered', attempts: 2}]);
	const [first, second] = host.findLogLines('placed', reroutedId);
	expect(second!.upstream).not.toBe(first!.upstream);
	expect(host.findLogLines('moving', reroutedId)).toHaveLength(1);
	link.close('over');
});
