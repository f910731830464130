/** Hosts that choose the same engine at the same time: one of the requests is rerouted before it is delayed. */
import {createConnection} from 'node:net';
import {expect, it} from 'vitest';
import {parseEventIds, createPromptHeaders} from '../../bench/gateway/caller-requests.js';
import {type Host} from '../../bench/gateway/host.js';
import {Site, type SiteOptions} from '../../bench/gateway/site.js';
import {ignore} from '../../src/entry/ignore.js';
import {Link} from '../../src/gateway/peers/link.js';
import {type WireJob} from '../../src/gateway/peers/load-messages.js';
import {type Message} from '../../src/gateway/peers/messages.js';

/** A request yields only within 100 ms after it was sent; on a busy machine the peer's load update may arrive later. */
const maxAttempts = 6;

type Competition = AsyncDisposable & {
	readonly site: Site;
	readonly host: Host;
};

/** Starts a host with a peer that answers each job of the host with one that chose the same engine a moment before. */
async function startCompetition(options: SiteOptions, onJob: (site: Site, job: WireJob) => void): Promise<Competition> {
	const site = await Site.start(options);
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
				onJob(site, job);
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
	return {
		site,
		host,
		async [Symbol.asyncDispose]() {
			link.close('over');
			await site[Symbol.asyncDispose]();
		},
	};
}

/** Sends prompts until the host has tried to reroute one; returns its id. */
async function rerouteOne({site, host}: Competition): Promise<string> {
	for (let index = 0; index < maxAttempts; index++) {
		const id = `met-${index}`;
		const answer = await site.ask({path: '/ask/x', id, headers: createPromptHeaders(40_000, 3)});
		expect(parseEventIds(answer)).toEqual([1, 2, 3]);
		if (host.findLogLines('moving', id).length > 0) {
			return id;
		}
	}

	throw new Error(`none of ${maxAttempts} prompts was rerouted`);
}

it('a prompt whose engine a peer chose first is rerouted once to another engine and answered completely', {timeout: 30_000}, async () => {
	await using competition = await startCompetition({engines: 3}, ignore);
	const {site, host} = competition;
	const id = await rerouteOne(competition);
	const runs = site.ledger.findRuns(id).map(run => run.upstream);
	expect(runs.length).toBeLessThanOrEqual(2);
	await expect.poll(() => host.findLogLines('ended', id)).toMatchObject([{outcome: 'answered', attempts: 2}]);
	const [first, second] = host.findLogLines('placed', id);
	expect(second!.upstream).not.toBe(first!.upstream);
	expect(host.findLogLines('moving', id)).toHaveLength(1);
});

it('a prompt whose next engine refuses it is answered by its own, without another token of the retry budget', {timeout: 30_000}, async () => {
	const oneRetry = {retries: {ratio: 0, window: 60_000, allowance: 2}};
	await using competition = await startCompetition({engines: 3, settings: oneRetry}, (site, job) => {
		if (job.placing !== 'first') {
			return;
		}

		for (const engine of site.engines) {
			engine.fault = engine.id === job.upstream ? 'none' : 'shed';
		}
	});
	const {site, host} = competition;
	const id = await rerouteOne(competition);
	expect(site.ledger.findRuns(id)).toHaveLength(1);
	await expect.poll(() => host.findLogLines('attempt-ended', id)).toMatchObject([{ending: 'not-run'}, {ending: 'answered'}]);
	expect(host.findLogLines('retry-denied', id)).toEqual([]);
});
