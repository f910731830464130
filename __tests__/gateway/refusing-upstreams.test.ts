/** Hosts in front of upstreams that refuse requests and state for how long they want none from that host. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import {createPromptHeaders, type Answer} from '../../bench/gateway/caller-requests.js';
import {Site} from '../../bench/gateway/site.js';

/** Time after the refusal from which at most two requests may reach the upstream until the stated time is over. */
const noticeTimeMs = 500;
const maxRequests = 2;

const statedSeconds = 2.5;
const requestIntervalMs = 20;

let site: Site;

beforeEach(async () => {
	site = await Site.start({engines: 3, plains: 3});
});

afterEach(async () => {
	await site[Symbol.asyncDispose]();
});

async function sendLoad(kind: 'ask' | 'read', milliseconds: number): Promise<readonly Answer[]> {
	const pending: Array<Promise<Answer>> = [];
	const end = performance.now() + milliseconds;
	while (performance.now() < end) {
		pending.push(site.ask({path: `/${kind}/x`, id: `${kind}-${end}-${pending.length}`, headers: kind === 'ask' ? createPromptHeaders(1000, 2) : {}}));
		await sleep(requestIntervalMs);
	}

	return Promise.all(pending);
}

it.each(['ask', 'read'] as const)('sends nothing to upstreams that refuse it for the time that they state, and tells callers when to retry (%s)', async kind => {
	const upstreams = kind === 'ask' ? site.engines : site.plains;
	for (const upstream of upstreams) {
		upstream.fault = 'shed';
		upstream.retryAfter = statedSeconds;
	}

	await sendLoad(kind, 500);
	for (const upstream of upstreams) {
		upstream.fault = 'none';
	}

	const answers = await sendLoad(kind, 1500);
	const unwanted = upstreams.map(({arrivals}) => arrivals.filter(({at}) => at > arrivals[0]!.at + noticeTimeMs && at < arrivals[0]!.at + (statedSeconds * 1000)).length);
	expect(unwanted.filter(count => count > maxRequests)).toEqual([]);
	expect(answers.every(answer => answer.status === 503 && answer.took < 500)).toBe(true);
	expect(Number(answers[0]!.headers['retry-after'])).toBeGreaterThan(1);
	await sleep(statedSeconds * 1000);
	const later = await sendLoad(kind, 500);
	expect(later.filter(answer => answer.status !== 200)).toEqual([]);
}, 60_000);

it('sends other upstreams what a refusing one doesn\'t want', async () => {
	const [refusing] = site.plains;
	refusing!.fault = 'shed';
	refusing!.retryAfter = statedSeconds;
	const answers = await sendLoad('read', 1500);
	expect(refusing!.arrivals.filter(({at}) => at > refusing!.arrivals[0]!.at + noticeTimeMs).length).toBeLessThanOrEqual(maxRequests);
	expect(answers.filter(answer => answer.status !== 200)).toEqual([]);
}, 60_000);

it('keeps to the time that an upstream states which has started again, also once its registration says so', async () => {
	for (const plain of site.plains) {
		plain.restart();
		plain.fault = 'shed';
		plain.retryAfter = statedSeconds;
	}

	await sendLoad('read', 300);
	for (const plain of site.plains) {
		plain.fault = 'none';
		site.register(plain);
	}

	await sendLoad('read', 1500);
	const unwanted = site.plains.map(({arrivals}) => arrivals.filter(({at}) => at > arrivals[0]!.at + noticeTimeMs && at < arrivals[0]!.at + (statedSeconds * 1000)).length);
	expect(unwanted.filter(count => count > maxRequests)).toEqual([]);
}, 60_000);
