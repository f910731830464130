/** Sound engines that send nothing for up to two seconds, as stopped processes do: an answer in progress is only given up for a better one. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {
	createConfiguration, createServices, engineModel, routes,
} from '../../bench/gateway/configuration.js';
import {createPromptHeaders, parseEventIds, type Answer} from '../../bench/gateway/caller-requests.js';
import {Site, type SiteOptions} from '../../bench/gateway/site.js';

/** Retry budget of which nothing is left. */
const spentBudget = {retries: {ratio: 0, window: 10_000, allowance: 0}};

const eventCount = 100;

/** Milliseconds from the first to the last event of a stream at an engine that isn't paused. */
const streamDuration = 2000;

/** Tokens of a prompt that is placed at an engine of its own. */
const longPrompt = 20_000;

let site: Site | undefined;

afterEach(async () => {
	await site?.[Symbol.asyncDispose]();
	site = undefined;
});

async function startSite(options: SiteOptions = {}): Promise<Site> {
	site = await Site.start({
		hosts: 2, engines: 6, failureDomains: ['a', 'b', 'c'], ...options,
	});
	for (const engine of site.engines) {
		engine.slowness = streamDuration / (eventCount * engineModel.stride * engineModel.step);
	}

	return site;
}

/** Sends streams to the hosts in turn; resolves once all of them have begun. */
async function beginStreams(deployment: Site, count: number, tokens = 1000): Promise<ReadonlyArray<Promise<Answer>>> {
	const begun = new Set<string>();
	const streams = Array.from({length: count}, async (_, index) => deployment.ask({
		path: '/ask/x',
		id: `stream-${index}`,
		headers: createPromptHeaders(tokens, eventCount),
		onData() {
			begun.add(`stream-${index}`);
		},
	}, deployment.hosts[index % deployment.hosts.length]));
	await expect.poll(() => begun.size, {timeout: 10_000}).toBe(count);
	return streams;
}

/** Gives all hosts a configuration, and waits until it is in force. */
async function configure(deployment: Site, version: number, engine: Readonly<Record<string, unknown>> = {}): Promise<void> {
	deployment.store.put('op/config', createConfiguration(version, {Services: createServices(engine)}));
	await expect.poll(() => deployment.hosts.every(host => host.findLogLines('configuration').at(-1)?.version === version), {timeout: 10_000}).toBe(true);
}

const allEvents = Array.from({length: eventCount}, (_, index) => index + 1);

/** Returns the ids of requests that ran more than once. */
function findRepeated(deployment: Site, count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => `stream-${index}`).filter(id => deployment.ledger.findRuns(id).length > 1);
}

describe('streams of sound engines that are all silent for a while', () => {
	it.each([1500, 1900])('are not cut by a host without a retry budget (%i ms)', {timeout: 30_000}, async pause => {
		const deployment = await startSite({settings: spentBudget});
		const streams = await beginStreams(deployment, 24);
		for (const engine of deployment.engines) {
			engine.pause(pause);
		}

		for (const answer of await Promise.all(streams)) {
			expect([answer.status, answer.isWhole, parseEventIds(answer)]).toEqual([200, true, allEvents]);
		}
	});

	it('go on where they are while the configuration changes, and make no engine doubted', {timeout: 30_000}, async () => {
		const deployment = await startSite();
		const streams = await beginStreams(deployment, 12);
		deployment.store.put('op/config', createConfiguration(2));
		for (const engine of deployment.engines) {
			engine.pause(1700);
		}

		await sleep(300);
		deployment.store.put('op/config', createConfiguration(3));
		for (const answer of await Promise.all(streams)) {
			expect([answer.isWhole, parseEventIds(answer)]).toEqual([true, allEvents]);
		}

		expect(findRepeated(deployment, 12)).toEqual([]);
		expect(deployment.hosts.flatMap(host => [...host.findLogLines('upstream-doubted'), ...host.findLogLines('domain-unreachable')])).toEqual([]);
	});

	it.each([1600, 1700, 1850])('make no link count as cut, whichever host gets the first answer again (%i ms)', {timeout: 30_000}, async pause => {
		const deployment = await startSite({hosts: 3});
		const streams = await beginStreams(deployment, 6);
		for (const engine of deployment.engines) {
			engine.pause(pause);
		}

		await Promise.all(streams);
		expect(deployment.hosts.flatMap(host => host.findLogLines('link-cut'))).toEqual([]);
	});
});

it('requests that wait for their first event at silent engines are answered by a host without a retry budget', {timeout: 30_000}, async () => {
	const deployment = await startSite({settings: spentBudget});
	for (const engine of deployment.engines) {
		engine.pause(1800);
	}

	const answers = await Promise.all(Array.from({length: 24}, async (_, index) => deployment.ask({
		path: '/ask/x', id: `stream-${index}`, headers: createPromptHeaders(1000, eventCount),
	}, deployment.hosts[index % 2])));
	for (const answer of answers) {
		expect([answer.status, answer.isWhole, parseEventIds(answer)]).toEqual([200, true, allEvents]);
	}
});

it('requests that wait for a slot at an engine that sends to others are not sent to another one that has no free slot either', {timeout: 30_000}, async () => {
	const deployment = await startSite({hosts: 1, engines: 2});
	for (const engine of deployment.engines) {
		engine.slowness *= 2;
	}

	// With long answers announced, no engine gets more streams than it has slots.
	await configure(deployment, 2, {usual: {prompt: 1000, answer: 1000}});
	const streams = await beginStreams(deployment, 16);
	await configure(deployment, 3);
	const queued = Array.from({length: 4}, async (_, index) => deployment.ask({path: '/ask/x', id: `queued-${index}`, headers: createPromptHeaders(1000, 10)}));
	const [host] = deployment.hosts;
	await sleep(1500);
	expect(host!.findLogLines('successor-sent')).toEqual([]);
	expect(host!.findLogLines('successor-missing').map(({obstacle}) => obstacle)).toContain('no free engine');
	for (const answer of await Promise.all(streams)) {
		expect([answer.status, answer.isWhole, parseEventIds(answer)]).toEqual([200, true, allEvents]);
	}

	expect(await Promise.all(queued)).toMatchObject(queued.map(() => ({status: 200, isWhole: true})));
});

it('idempotent requests to plain services that are silent for a while are answered by a host without a retry budget', {timeout: 30_000}, async () => {
	const deployment = await startSite({settings: spentBudget, plains: 3});
	for (const plain of deployment.plains) {
		plain.pause(1200);
	}

	const answers = await Promise.all(Array.from({length: 12}, async (_, index) => deployment.ask({path: '/read/x', id: `stream-${index}`}, deployment.hosts[index % 2])));
	expect(answers.map(({status}) => status)).toEqual(answers.map(() => 200));
});

describe('an idempotent request that takes long at services that answer others', () => {
	/** Asks for something that takes some time, with a time limit in milliseconds, while other requests are answered at once. */
	async function askSlowly(answerDelay: number, timeout: number): Promise<Answer> {
		const deployment = await startSite({hosts: 1, plains: 3});
		deployment.store.put('op/config', createConfiguration(2, {Routes: routes.map(route => route.Name === 'read' ? {...route, TimeoutMs: timeout} : route)}));
		for (const plain of deployment.plains) {
			plain.answerDelays = new Map([['slow', answerDelay]]);
		}

		const answered = new AbortController();
		const others = (async () => {
			for (let burst = 0; !answered.signal.aborted; burst++) {
				await Promise.all(Array.from({length: 15}, async (_, index) => deployment.ask({path: '/read/x', id: `quick-${burst}-${index}`})));
			}
		})();
		await sleep(3000);
		const answer = await deployment.ask({path: '/read/x', id: 'slow'});
		answered.abort();
		await others;
		expect(deployment.ledger.findRuns('slow').length).toBeLessThanOrEqual(2);
		return answer;
	}

	it('is not sent back and forth between them', {timeout: 30_000}, async () => {
		expect(await askSlowly(3000, 8000)).toMatchObject({status: 200, isWhole: true});
	});

	it('is not begun anew in place of an attempt that would have been in time', {timeout: 30_000}, async () => {
		expect(await askSlowly(4500, 5000)).toMatchObject({status: 200, isWhole: true});
	});
});

it('streams of one engine that is silent for a while are neither cut, nor repeated, nor left with a gap', {timeout: 30_000}, async () => {
	const deployment = await startSite();
	const streams = await beginStreams(deployment, 24);
	deployment.engines[0]!.pause(1900);
	for (const answer of await Promise.all(streams)) {
		expect([answer.status, answer.isWhole, parseEventIds(answer)]).toEqual([200, true, allEvents]);
	}
});

it('streams of an engine that never answers again go on at another one', {timeout: 30_000}, async () => {
	const deployment = await startSite();
	const streams = await beginStreams(deployment, 24);
	const began = performance.now();
	deployment.engines[0]!.pause(20_000);
	for (const answer of await Promise.all(streams)) {
		expect([answer.status, answer.isWhole, parseEventIds(answer)]).toEqual([200, true, allEvents]);
	}

	expect(findRepeated(deployment, 24).length).toBeGreaterThan(0);
	expect(performance.now() - began).toBeLessThan(10_000);
});

it('a stream goes back to the engine that it left, if that sends again and the next one never does', {timeout: 30_000}, async () => {
	const deployment = await startSite({hosts: 1, engines: 2});
	const [stream] = await beginStreams(deployment, 1);
	const left = deployment.hosts[0]!.findLogLines('placed')[0]!.upstream;
	deployment.engines.find(({id}) => id === left)!.pause(1700);
	await expect.poll(() => deployment.hosts[0]!.findLogLines('attempt-ended'), {timeout: 5000}).toMatchObject([{upstream: left, reason: 'silent'}]);
	deployment.engines.find(({id}) => id !== left)!.pause(20_000);
	const answer = await stream!;
	expect([answer.status, answer.isWhole, parseEventIds(answer)]).toEqual([200, true, allEvents]);
});

it('streams of a host that was stopped itself are not given up for the silence it imagines', {timeout: 30_000}, async () => {
	const deployment = await startSite({hosts: 1, settings: spentBudget});
	const streams = await beginStreams(deployment, 12);
	deployment.hosts[0]!.process.kill('SIGSTOP');
	await sleep(1500);
	deployment.hosts[0]!.process.kill('SIGCONT');
	for (const answer of await Promise.all(streams)) {
		expect([answer.status, answer.isWhole, parseEventIds(answer)]).toEqual([200, true, allEvents]);
	}
});

describe('streams go on at a sound engine that has sent nothing lately', () => {
	it('if all engines that the host uses never answer again', {timeout: 30_000}, async () => {
		const deployment = await startSite({hosts: 1});
		const streams = await beginStreams(deployment, 3, longPrompt);
		const used = new Set(deployment.hosts[0]!.findLogLines('placed').map(({upstream}) => upstream));
		expect(used.size).toBeGreaterThan(1);
		for (const engine of deployment.engines.filter(({id}) => used.has(id))) {
			engine.pause(20_000);
		}

		for (const answer of await Promise.all(streams)) {
			expect([answer.status, answer.isWhole, parseEventIds(answer)]).toEqual([200, true, allEvents]);
		}
	});

	it('if most engines never answer again', {timeout: 30_000}, async () => {
		const deployment = await startSite({hosts: 1});
		const streams = await beginStreams(deployment, 2, longPrompt);
		const used = new Set(deployment.hosts[0]!.findLogLines('placed').map(({upstream}) => upstream));
		const sound = deployment.engines.find(({id}) => !used.has(id));
		for (const engine of deployment.engines.filter(each => each !== sound)) {
			engine.pause(20_000);
		}

		for (const answer of await Promise.all(streams)) {
			expect([answer.status, answer.isWhole, parseEventIds(answer)]).toEqual([200, true, allEvents]);
		}
	});

	it('if the link of the host to all engines passes nothing', {timeout: 30_000}, async () => {
		const deployment = await startSite({hasSeverableLinks: true});
		const streams = await beginStreams(deployment, 6, longPrompt);
		await deployment.sever(0, 'hang');
		for (const answer of await Promise.all(streams)) {
			expect([answer.status, answer.isWhole, parseEventIds(answer)]).toEqual([200, true, allEvents]);
		}
	});
});
