/** Three hosts in front of upstreams that state in their responses that they leave, while the store takes no registrations. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import {createPromptHeaders, type Answer} from '../../bench/gateway/caller-requests.js';
import {Site} from '../../bench/gateway/site.js';
import {type UpstreamStandIn} from '../../stand-ins/gateway/upstream.js';

/** Time after a host has passed on such a response until it must send no new request to the upstream. */
const drainDelayMs = 2000;

const requestIntervalMs = 20;

let site: Site;

beforeEach(async () => {
	site = await Site.start({
		hosts: 3, engines: 3, plains: 3, settings: {revocation: 0},
	});
	await expect.poll(() => site.hosts.every(host => host.findLogLines('peer-linked').length >= 2), {timeout: 20_000}).toBe(true);
});

afterEach(async () => {
	await site[Symbol.asyncDispose]();
});

type Sent = {readonly host: number; readonly began: number; readonly ended: number; readonly id: string; readonly answer: Answer};

let sentCount = 0;

async function send(kind: 'ask' | 'read', host: number): Promise<Sent> {
	const id = `${kind}-${sentCount++}`;
	const began = performance.now();
	const answer = await site.ask({path: `/${kind}/x`, id, headers: kind === 'ask' ? createPromptHeaders(1000, 2) : {}}, site.hosts[host]);
	return {
		host, began, ended: performance.now(), id, answer,
	};
}

/** Sends requests to some hosts in turn at a constant rate. */
async function sendLoad(kind: 'ask' | 'read', milliseconds: number, hosts = [0, 1, 2]): Promise<readonly Sent[]> {
	const pending: Array<Promise<Sent>> = [];
	const end = performance.now() + milliseconds;
	while (performance.now() < end) {
		pending.push(send(kind, hosts[pending.length % hosts.length]!));
		await sleep(requestIntervalMs);
	}

	return Promise.all(pending);
}

function ranAt(request: Sent, upstreams: readonly UpstreamStandIn[]): boolean {
	return site.ledger.findRuns(request.id).some(run => upstreams.some(upstream => upstream.id === run.upstream));
}

/** Returns the requests that were sent to a host, and by it to one of the upstreams, after it should have stopped using these. */
function findLate(requests: readonly Sent[], upstreams: readonly UpstreamStandIn[], statedAt: number): readonly string[] {
	return requests.filter(request => {
		const told = requests.find(each => each.host === request.host && each.began > statedAt && ranAt(each, upstreams));
		return told !== undefined && request.began > told.ended + drainDelayMs && ranAt(request, upstreams);
	}).map(request => request.id);
}

it.each(['ask', 'read'] as const)('sends no work to an upstream whose responses stated that it leaves, while the store is away (%s)', async kind => {
	const upstreams = kind === 'ask' ? site.engines : site.plains;
	await sendLoad(kind, 500);
	site.store.mode = 'silent';
	const leaving = upstreams.find(upstream => upstream.arrivals.length > 0)!;
	leaving.isStatingLeave = true;
	const statedAt = performance.now();
	const requests = await sendLoad(kind, drainDelayMs + 2000);
	expect(requests.some(request => ranAt(request, [leaving]))).toBe(true);
	expect(findLate(requests, [leaving], statedAt)).toEqual([]);
	expect(requests.filter(request => request.answer.status !== 200)).toEqual([]);
}, 60_000);

it('refuses requests at once when all upstreams of a service leave, while the registry still has them as ready', async () => {
	for (const plain of site.plains) {
		plain.isStatingLeave = true;
	}

	const statedAt = performance.now();
	const requests = await sendLoad('read', drainDelayMs + 1500);
	expect(findLate(requests, site.plains, statedAt)).toEqual([]);
	const last = requests.slice(-5);
	expect(last.map(({answer}) => [answer.status, Number(answer.headers['retry-after']) > 0, answer.took < 500])).toEqual(last.map(() => [503, true, true]));
	expect(last.some(request => ranAt(request, site.plains))).toBe(false);
}, 60_000);

it('doesn\'t use the upstream at hosts that only their peers have told', async () => {
	site.store.mode = 'silent';
	for (const plain of site.plains.slice(1)) {
		plain.fault = 'shed';
	}

	site.plains[0]!.isStatingLeave = true;
	// A request ends after two attempts, which may both be at the others.
	await expect.poll(async () => {
		await send('read', 0);
		return site.plains[0]!.arrivals.length;
	}, {timeout: 10_000}).toBeGreaterThan(0);
	await sleep(300);
	for (const plain of site.plains) {
		plain.fault = 'none';
	}

	const requests = await sendLoad('read', 1000, [1, 2]);
	expect(requests.filter(request => ranAt(request, site.plains.slice(0, 1)))).toEqual([]);
}, 60_000);

it('uses an upstream that has started again under its id', async () => {
	for (const plain of site.plains) {
		plain.isStatingLeave = true;
	}

	await sendLoad('read', 1000);
	for (const plain of site.plains) {
		plain.restart();
		site.register(plain);
	}

	await sleep(drainDelayMs);
	const requests = await sendLoad('read', 1000);
	expect(requests.filter(request => request.answer.status !== 200)).toEqual([]);
}, 60_000);
