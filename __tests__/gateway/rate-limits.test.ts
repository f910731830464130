/** Three hosts in front of upstreams that limit the rate of requests in their responses. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import {createPromptHeaders, type Answer} from '../../bench/gateway/caller-requests.js';
import {Site} from '../../bench/gateway/site.js';
import {type UpstreamStandIn} from '../../stand-ins/gateway/upstream.js';

/** Bound on what a limited upstream may get within the window, from `settlingMs` after it first stated its limit. */
const windowMs = 4000;
const settlingMs = 3000;
const excessFactor = 1.5;
const excessRequests = 5;

const rateLimit = 1;
const requestIntervalMs = 40;
const durationMs = 9000;

let site: Site;

beforeEach(async () => {
	site = await Site.start({hosts: 3, engines: 3, plains: 3});
	await expect.poll(() => site.hosts.every(host => host.findLogLines('peer-linked').length >= 2), {timeout: 20_000}).toBe(true);
});

afterEach(async () => {
	await site[Symbol.asyncDispose]();
});

/** Sends requests to all hosts in turn at a constant rate, and returns their answers. */
async function sendLoad(kind: 'ask' | 'read', milliseconds: number): Promise<readonly Answer[]> {
	const pending: Array<Promise<Answer>> = [];
	const begin = performance.now();
	while (performance.now() - begin < milliseconds) {
		const host = site.hosts[pending.length % site.hosts.length];
		pending.push(site.ask({path: `/${kind}/x`, id: `${kind}-${pending.length}`, headers: kind === 'ask' ? createPromptHeaders(1000, 2) : {}}, host));
		await sleep(requestIntervalMs);
	}

	return Promise.all(pending);
}

/** Returns the most requests that an upstream got within a window after it had settled. */
function countMostArrivals({arrivals}: UpstreamStandIn, from: number): number {
	const settled = arrivals.map(({at}) => at).filter(at => at >= from);
	return Math.max(0, ...settled.map(first => settled.filter(at => at >= first && at < first + windowMs).length));
}

it.each(['ask', 'read'] as const)('keeps to the rate limits of all upstreams of a service together, and refuses what they leave out (%s)', async kind => {
	const upstreams = kind === 'ask' ? site.engines : site.plains;
	for (const upstream of upstreams) {
		upstream.rateLimit = rateLimit;
	}

	const settledAt = performance.now() + settlingMs;
	const answers = await sendLoad(kind, durationMs);
	const most = (windowMs / 1000 * rateLimit * excessFactor) + excessRequests;
	expect(upstreams.map(upstream => countMostArrivals(upstream, settledAt)).filter(count => count > most)).toEqual([]);
	const refused = answers.filter(answer => answer.status === 503);
	expect(refused.every(answer => Number(answer.headers['retry-after']) > 0)).toBe(true);
	expect(answers.filter(answer => answer.status === 200).length + refused.length).toBe(answers.length);
	expect(upstreams.every(upstream => upstream.arrivals.filter(({at}) => at >= settledAt).length >= 3)).toBe(true);
}, 60_000);

it('sends other upstreams what a limited one leaves out', async () => {
	await site.ask({path: '/ask/x', id: 'probe', headers: createPromptHeaders(1000, 2)});
	const limited = site.engines.find(engine => engine.arrivals.length > 0)!;
	limited.rateLimit = rateLimit;
	const settledAt = performance.now() + settlingMs;
	const answers = await sendLoad('ask', durationMs);
	expect(countMostArrivals(limited, settledAt)).toBeLessThanOrEqual((windowMs / 1000 * rateLimit * excessFactor) + excessRequests);
	expect(answers.filter(answer => answer.status !== 200)).toEqual([]);
}, 60_000);

it('uses an upstream again without a limit once its responses state none', async () => {
	for (const plain of site.plains) {
		plain.rateLimit = rateLimit;
	}

	await sendLoad('read', 2000);
	for (const plain of site.plains) {
		plain.rateLimit = undefined;
	}

	await sendLoad('read', 2000);
	const answers = await sendLoad('read', 1000);
	expect(answers.filter(answer => answer.status !== 200)).toEqual([]);
}, 60_000);
