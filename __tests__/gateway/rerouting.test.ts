/** Hosts that choose the same engine at the same moment: one of the requests goes elsewhere before anything is lost. */
import {createConnection} from 'node:net';
import {expect, it} from 'vitest';
import {eventsOf, prompt} from '../../bench/gateway/asking.js';
import {Site} from '../../bench/gateway/site.js';
import {ignore} from '../../src/entry/ignore.js';
import {Link} from '../../src/gateway/peers/link.js';
import {type Message, type ToldJob} from '../../src/gateway/peers/messages.js';

/** News from far away come late on a busy machine: a request is looked at again for 100 ms only. */
const maxAttempts = 6;

it('a prompt whose engine a peer had chosen before goes to another one, whole and once', {timeout: 30_000}, async () => {
	await using site = await Site.start({engines: 3});
	const host = site.hosts[0]!;
	const answerTo = (job: ToldJob): Message => ({
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
				self.send(answerTo(job));
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
	await expect.poll(() => host.logged('peer-linked').length, {timeout: 3000}).toBe(1);

	let moved: string | undefined;
	for (let index = 0; index < maxAttempts && moved === undefined; index++) {
		const id = `met-${index}`;
		const answer = await site.ask({path: '/ask/x', id, headers: prompt(40_000, 3)});
		expect(eventsOf(answer)).toEqual([1, 2, 3]);
		moved = host.logged('moving', id).length > 0 ? id : undefined;
	}

	expect(moved).toBeDefined();
	const runs = site.ledger.of(moved ?? '').map(run => run.upstream);
	expect(runs.length).toBeLessThanOrEqual(2);
	await expect.poll(() => host.logged('ended', moved)).toMatchObject([{outcome: 'answered', attempts: 2}]);
	const [first, second] = host.logged('placed', moved);
	expect(second!.upstream).not.toBe(first!.upstream);
	expect(host.logged('moving', moved)).toHaveLength(1);
	link.close('over');
});
