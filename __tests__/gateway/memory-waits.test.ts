/** Prompts larger than an engine that wait for memory, while engines refuse reservations or fail, hosts die or stop, and callers leave. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, expect, it,
} from 'vitest';
import {createPromptHeaders, type Answer} from '../../bench/gateway/caller-requests.js';
import {Site} from '../../bench/gateway/site.js';

/** Needs two engines of 100,000 tokens. */
const largePromptTokens = 150_000;

let site: Site;

async function startSite(engines: number): Promise<void> {
	site = await Site.start({hosts: 2, engines, plains: 1});
	await expect.poll(() => site.hosts.every(host => host.findLogLines('peer-linked').length > 0), {timeout: 10_000}).toBe(true);
}

afterEach(async () => {
	await site[Symbol.asyncDispose]();
});

async function askLarge(id: string, events: number, hostIndex = 0, signal?: AbortSignal): Promise<Answer> {
	return site.ask({
		path: '/ask/x', id, headers: createPromptHeaders(largePromptTokens, events), signal,
	}, site.hosts[hostIndex]);
}

/** Starts a request that holds memory at all three engines, so that none has room for a part of another one. */
async function occupyEngines(id: string, events: number): Promise<{readonly answer: Promise<Answer>}> {
	const answer = askLarge(id, events);
	await expect.poll(() => site.hosts[0]!.findLogLines('placed', id).length, {timeout: 3000}).toBe(1);
	await sleep(100);
	return {answer};
}

async function waitForMemory(hostIndex: number, id: string): Promise<void> {
	await expect.poll(() => site.hosts[hostIndex]!.findLogLines('memory-wait', id).length, {timeout: 3000}).toBe(1);
}

function getAddress(engine: string): string {
	const {host, port} = site.engines.find(each => each.id === engine)!.address;
	return `${host}:${port}`;
}

async function expectNoHolds(): Promise<void> {
	await expect.poll(() => site.engines.flatMap(each => each.tickets), {timeout: 6000}).toEqual([]);
}

it('lets a request wait while others hold the memory, and serves it afterwards', async () => {
	await startSite(3);
	const {answer} = await occupyEngines('first', 150);
	const second = askLarge('second', 5, 1);
	await waitForMemory(1, 'second');
	expect(await answer).toMatchObject({status: 200, isWhole: true});
	expect(await second).toMatchObject({status: 200, isWhole: true});
	expect(site.hosts[1]!.findLogLines('memory-granted', 'second')).toHaveLength(1);
	await expectNoHolds();
}, 60_000);

it('takes another engine for the one that refuses a reservation, and keeps the part that was granted', async () => {
	await startSite(8);
	site.engines[1]!.isRefusingHolds = true;
	for (let index = 0; index < 4; index++) {
		expect(await askLarge(`refused-${index}`, 3)).toMatchObject({status: 200, isWhole: true});
	}

	const [host] = site.hosts;
	expect(host!.findLogLines('hold-replaced').length).toBeGreaterThan(0);
	expect(host!.findLogLines('hold-refused')).toEqual([]);
	await expectNoHolds();
}, 60_000);

it('serves a waiting request once the lease of a host that died has ended', async () => {
	await startSite(3);
	const {answer} = await occupyEngines('dying', 500);
	const second = askLarge('second', 5, 1);
	await waitForMemory(1, 'second');
	const ended = Promise.allSettled([answer]);
	await site.hosts[0]!.kill();
	await ended;
	expect(await second).toMatchObject({status: 200, isWhole: true});
	await expectNoHolds();
}, 60_000);

it('serves a waiting request although an engine is lost meanwhile', async () => {
	await startSite(3);
	const {answer} = await occupyEngines('first', 150);
	const second = askLarge('second', 5, 1);
	await waitForMemory(1, 'second');
	const ended = Promise.allSettled([answer]);
	await site.engines[2]!.crash();
	expect(await second).toMatchObject({status: 200, isWhole: true});
	await ended;
}, 60_000);

it('ends the wait of a caller that leaves, and of all requests when the host stops, at once', async () => {
	await startSite(3);
	const {answer} = await occupyEngines('first', 300);
	const leaving = new AbortController();
	const left = askLarge('left', 5, 1, leaving.signal);
	await waitForMemory(1, 'left');
	const ended = Promise.allSettled([left]);
	leaving.abort();
	await ended;
	await expect.poll(() => site.hosts[1]!.findLogLines('ended', 'left').length, {timeout: 500}).toBe(1);
	const stopped = askLarge('stopped', 5, 1);
	await waitForMemory(1, 'stopped');
	const stoppedAt = performance.now();
	site.hosts[1]!.process.kill('SIGTERM');
	expect(await stopped).toMatchObject({status: 503});
	expect(performance.now() - stoppedAt).toBeLessThan(1000);
	expect(await answer).toMatchObject({status: 200, isWhole: true});
}, 60_000);

it('reserves a large prompt at one engine while other hosts may take the rest unnoticed, and goes elsewhere if that engine refuses', async () => {
	await startSite(3);
	const ask = async (id: string, tokens: number, events: number, hostIndex = 0) => site.ask({path: '/ask/x', id, headers: createPromptHeaders(tokens, events)}, site.hosts[hostIndex]);
	/** Asks as callers do: again after a refusal, since a prompt that would delay the prefill of another one too much is refused. */
	const askUntilServed = async (id: string, tokens: number) => {
		let attempts = 0;
		await expect.poll(async () => ask(`${id}-${++attempts}`, tokens, 3), {timeout: 10_000, interval: 200}).toMatchObject({status: 200, isWhole: true});
		return site.hosts[0]!.findLogLines('placed', `${id}-${attempts}`);
	};

	const other = ask('other', 60_000, 400, 1);
	await expect.poll(() => site.hosts[1]!.findLogLines('placed', 'other').length, {timeout: 3000}).toBe(1);
	const [placed] = await askUntilServed('own', 60_000);
	expect(placed).toMatchObject({holdReason: 'contested'});
	expect(String(site.ledger.findRuns(String(placed!.request))[0]!.headers['x-helpers']).split(',')[0]).toBe(`${getAddress(String(placed!.upstream))}/${String(placed!.hold)}`);
	const [short] = await askUntilServed('short', 5000);
	expect(short!.hold).toBeUndefined();
	for (const engine of site.engines) {
		engine.isRefusingHolds = true;
		const lines = await askUntilServed(`refused-${engine.id}`, 60_000);
		expect(lines.at(-1)!.upstream).not.toBe(engine.id);
		engine.isRefusingHolds = false;
		await sleep(500);
	}

	expect(site.hosts[0]!.findLogLines('hold-refused').length).toBeGreaterThan(0);
	expect(await other).toMatchObject({status: 200, isWhole: true});
	await expectNoHolds();
}, 60_000);
