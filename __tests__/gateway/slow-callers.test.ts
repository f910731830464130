/** Callers that read slowly, with real processes: their answers stay whole, and the memory for all of them is bounded. */
import {
	afterEach, expect, it,
} from 'vitest';
import {
	createPromptHeaders, parseEventIds, sendRequest, type Answer,
} from '../../bench/gateway/caller-requests.js';
import {createConfiguration, routes} from '../../bench/gateway/configuration.js';
import {Site} from '../../bench/gateway/site.js';

/** With the padding of events, more than the sockets between engine, host and caller hold. */
const eventCount = 160;

let site: Site;

afterEach(async () => {
	await site[Symbol.asyncDispose]();
});

async function askSlowly(id: string, readingDelay: number): Promise<Answer> {
	return site.ask({
		path: '/ask/x', id, headers: createPromptHeaders(1000, eventCount), body: 'prompt', readingDelay,
	});
}

async function readMetric(name: string): Promise<number> {
	const page = await sendRequest(site.hosts[0]!.metrics, {path: '/metrics', id: '', method: 'GET'});
	const values = [...page.body.matchAll(new RegExp(String.raw`^cranberrytide_${name}(?:\{.*\})? (\S+)$`, 'gmv'))];
	return values.reduce((sum, match) => sum + Number(match[1]), 0);
}

/** Publishes routes whose streams another engine can't resume, so that a stream is lost once its engine cuts it off. */
async function publishWithoutResumption(): Promise<void> {
	site.store.put('op/config', createConfiguration(2, {Routes: routes.map(route => ({...route, StreamResume: false}))}));
	await expect.poll(() => site.hosts[0]!.findLogLines('configuration').at(-1)?.version, {timeout: 5000}).toBe(2);
}

// Guards against back pressure from a slow caller reaching an engine that cuts off streams of which nothing is read.
it.each([true, false])('delivers a whole answer to a caller that reads nothing for some seconds (resumable: %s)', async isResumable => {
	site = await Site.start({engines: 2, plains: 0, settings: {memory: 512}});
	if (!isResumable) {
		await publishWithoutResumption();
	}

	for (const engine of site.engines) {
		engine.eventPadding = 500_000;
		engine.unreadTimeout = 2000;
	}

	const answer = await askSlowly('pausing-1', 5000);
	expect(site.engines.map(({unreadStreams}) => unreadStreams)).toEqual([0, 0]);
	expect(answer).toMatchObject({status: 200, isWhole: true});
	expect(parseEventIds(answer)).toEqual(Array.from({length: eventCount}, (_, index) => index + 1));
	expect(site.hosts[0]!.findLogLines('placed', 'pausing-1').length).toBe(1);
}, 60_000);

// Guards against an engine that works on, and bytes that stay, for a caller that read nothing and left.
it('cancels the request and frees its bytes when a caller leaves that has read nothing', async () => {
	site = await Site.start({engines: 1, plains: 0, settings: {memory: 512}});
	site.engines[0]!.eventPadding = 20_000;
	const leaving = new AbortController();
	const pending = site.ask({
		path: '/ask/x', id: 'leaving-1', headers: createPromptHeaders(1000, 8000), body: 'prompt', readingDelay: 60_000, signal: leaving.signal,
	});
	await expect.poll(async () => readMetric('response_bytes_held'), {timeout: 5000}).toBeGreaterThan(1_000_000);
	leaving.abort();
	await pending;
	await expect.poll(async () => readMetric('response_bytes_held'), {timeout: 2000}).toBe(0);
	await expect.poll(() => site.hosts[0]!.findLogLines('attempt-ended', 'leaving-1')).toMatchObject([{ending: 'cancelled', reason: 'caller left'}]);
}, 60_000);

// Guards against memory that grows with the number of slow callers, and against fast callers that wait for them.
it('bounds the bytes that it holds for many slow callers, and serves fast ones meanwhile', async () => {
	site = await Site.start({engines: 3, plains: 1, settings: {memory: 64}});
	for (const engine of site.engines) {
		engine.eventPadding = 150_000;
	}

	const progress = {isDone: false};
	const slow = Promise.all(Array.from({length: 6}, async (_, index) => askSlowly(`slow-${index}`, 3000)));
	void slow.finally(() => {
		progress.isDone = true;
	});
	let most = 0;
	const fast: Answer[] = [];
	while (!progress.isDone) {
		most = Math.max(most, await readMetric('response_bytes_held'));
		fast.push(await site.ask({path: '/read/x', id: `fast-${fast.length}`}));
	}

	const answers = await slow;
	expect(answers.map(({isWhole}) => isWhole)).toEqual(answers.map(() => true));
	expect(fast.filter(({status, isWhole}) => status !== 200 || !isWhole)).toEqual([]);
	expect(most).toBeLessThanOrEqual(await readMetric('response_bytes_budget'));
	expect(most).toBeGreaterThan(1_000_000);
	const stopped = site.hosts[0]!.findLogLines('response-stopped');
	expect(stopped.length).toBe(await readMetric('responses_stopped_total'));
	expect(stopped.filter(({request, bytes, held}) => !String(request).startsWith('slow') || Number(bytes) > Number(held))).toEqual([]);
	expect(stopped.length).toBeGreaterThan(0);
	await expect.poll(async () => readMetric('response_bytes_held'), {timeout: 2000}).toBe(0);
}, 60_000);
