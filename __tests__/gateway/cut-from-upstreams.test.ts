/** Hosts that have lost their links to upstreams, while callers, the store and the other hosts reach them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {createPromptHeaders, parseEventIds, type Answer} from '../../bench/gateway/caller-requests.js';
import {Site} from '../../bench/gateway/site.js';
import {type Severance} from '../../stand-ins/proxy/severable-link.js';

let site: Site | undefined;

afterEach(async () => {
	await site?.[Symbol.asyncDispose]();
	site = undefined;
});

const events = 6;
const severances: readonly Severance[] = ['hang', 'reset', 'refuse-new'];

/** Time after a cut within which a host may still learn of it. */
const learningTimeMs = 1000;

async function startSite(): Promise<Site> {
	site = await Site.start({
		hosts: 3, engines: 4, plains: 2, failureDomains: ['a', 'b'], hasSeverableLinks: true,
	});
	await expect.poll(() => site!.hosts.every(host => host.findLogLines('peer-linked').length >= 2), {timeout: 5000}).toBe(true);
	return site;
}

/** Sends one request of each kind to a host; returns those that weren't answered completely at the first attempt. */
async function findUnserved(deployment: Site, host: number, name: string): Promise<readonly string[]> {
	const ask = async (id: string, path: string, headers = {}) => deployment.ask({
		path, id, body: 'b', headers,
	}, deployment.hosts[host]);
	const requests: ReadonlyArray<readonly [string, Promise<Answer>, (answer: Answer) => boolean]> = [
		['ask', ask(`${name}-ask`, '/ask/x', createPromptHeaders(1000, events)), answer => parseEventIds(answer).length === events],
		['once', ask(`${name}-once`, '/once/x'), answer => answer.body === `answer to ${name}-once: b`],
		['read', ask(`${name}-read`, '/read/x'), answer => answer.body === `answer to ${name}-read: b`],
	];
	const unserved: string[] = [];
	for (const [kind, pending, isExpected] of requests) {
		const answer = await pending;
		if (answer.status !== 200 || !answer.isWhole || !isExpected(answer)) {
			unserved.push(`${name}-${kind}: ${answer.status} ${answer.body.slice(0, 80)}`);
		}
	}

	return unserved;
}

async function findUnservedOf(deployment: Site, host: number, name: string, count: number): Promise<readonly string[]> {
	const unserved: string[] = [];
	for (let index = 0; index < count; index++) {
		unserved.push(...await findUnserved(deployment, host, `${name}-${index}`));
	}

	return unserved;
}

function findRepeated(deployment: Site): readonly string[] {
	const once = deployment.plains.flatMap(plain => plain.arrivals.map(({request}) => request)).filter(request => request.endsWith('-once'));
	return once.filter(request => deployment.ledger.findRuns(request).length > 1);
}

describe.each(severances)('a host whose connections to all upstreams %s', severance => {
	it('serves its callers over other hosts, and over its own links soon after these are back', async () => {
		const deployment = await startSite();
		await findUnservedOf(deployment, 0, 'before', 3);
		await deployment.sever(0, severance);
		await Promise.all([sleep(learningTimeMs), findUnservedOf(deployment, 0, 'learning', 1)]);
		expect(await findUnservedOf(deployment, 0, 'cut', 8)).toEqual([]);
		expect(await findUnservedOf(deployment, 1, 'others', 3)).toEqual([]);
		await deployment.restore(0);
		await sleep(2000);
		expect(await findUnservedOf(deployment, 0, 'after', 3)).toEqual([]);
		expect(findRepeated(deployment)).toEqual([]);
	});
});

describe.each(['accept', 'accept-reset', 'reset-after-head'] as const)('a host whose connections to all upstreams are accepted by something in between that passes nothing: %s', severance => {
	it('serves its callers over other hosts, and over its own links soon after answers arrive over these', async () => {
		const deployment = await startSite();
		await findUnservedOf(deployment, 0, 'before', 3);
		await deployment.sever(0, severance);
		await Promise.all([sleep(3000), findUnservedOf(deployment, 0, 'learning', 2)]);
		expect(await findUnservedOf(deployment, 0, 'cut', 8)).toEqual([]);
		expect(await findUnservedOf(deployment, 1, 'others', 3)).toEqual([]);
		expect(deployment.hosts[0]!.findLogLines('link-cut').length).toBeGreaterThan(0);
		expect(deployment.hosts[0]!.findLogLines('link-restored')).toEqual([]);
		await deployment.restore(0);
		await sleep(2500);
		const opened = deployment.hosts[0]!.findLogLines('tunnel-opened').length;
		expect(await findUnservedOf(deployment, 0, 'after', 3)).toEqual([]);
		expect(deployment.hosts[0]!.findLogLines('tunnel-opened')).toHaveLength(opened);
		expect(findRepeated(deployment)).toEqual([]);
	});
});

it('serves callers at two of three hosts that are cut from all upstreams', async () => {
	const deployment = await startSite();
	await Promise.all([deployment.sever(0, 'hang'), deployment.sever(1, 'reset')]);
	await Promise.all([sleep(learningTimeMs), findUnserved(deployment, 0, 'learning-0'), findUnserved(deployment, 1, 'learning-1')]);
	expect(await findUnservedOf(deployment, 0, 'cut-0', 4)).toEqual([]);
	expect(await findUnservedOf(deployment, 1, 'cut-1', 4)).toEqual([]);
});

it('serves callers at a host that is cut from the upstreams of one failure domain only, or from a single one', async () => {
	const deployment = await startSite();
	await deployment.sever(0, 'hang', ['engine-0', 'engine-2', 'plain-0']);
	await deployment.sever(1, 'refuse-new', ['plain-1']);
	await Promise.all([sleep(learningTimeMs), findUnserved(deployment, 0, 'learning-0'), findUnserved(deployment, 1, 'learning-1')]);
	expect(await findUnservedOf(deployment, 0, 'cut-0', 4)).toEqual([]);
	expect(await findUnservedOf(deployment, 1, 'cut-1', 4)).toEqual([]);
});

/** Cuts host 0 from all upstreams, and waits until it knows. */
async function cutFirstHost(deployment: Site): Promise<void> {
	await deployment.sever(0, 'reset');
	await Promise.all([sleep(learningTimeMs), findUnserved(deployment, 0, 'learning')]);
	expect(deployment.hosts[0]!.findLogLines('tunnel-opened').length).toBeGreaterThan(0);
}

function findTunnelPeers(deployment: Site): readonly string[] {
	return deployment.hosts[0]!.findLogLines('tunnel-opened').map(({peer}) => String(peer));
}

it('lets streams go on whose connections are reset as the links are lost, though idle connections are reset as well', async () => {
	const deployment = await startSite();
	const askAll = async (name: string, count: number, requests: number) => Promise.all(Array.from({length: requests}, async (_, index) =>
		deployment.ask({path: '/ask/x', id: `${name}-${index}`, headers: createPromptHeaders(1000, count)}, deployment.hosts[0])));
	await askAll('before', 30, 28);
	const pending = askAll('reset', 300, 8);
	await sleep(150);
	// New connections are refused at once, while resets arrive over tens of milliseconds.
	await deployment.sever(0, 'refuse-new');
	for (const engine of deployment.engines) {
		await deployment.sever(0, 'reset', [engine.id]);
		await sleep(20);
	}

	const answers = await pending;
	expect(answers.map(answer => parseEventIds(answer).length)).toEqual(answers.map(() => 300));
});

it('lets streams without framing end whose connections live on as new ones are refused', async () => {
	const deployment = await startSite();
	for (const engine of deployment.engines) {
		engine.fault = 'unframed';
	}

	const pending = Promise.all(Array.from({length: 8}, async (_, index) =>
		deployment.ask({path: '/ask/x', id: `unframed-${index}`, headers: createPromptHeaders(1000, 20)}, deployment.hosts[0])));
	await expect.poll(() => deployment.ledger.findRuns('unframed-7').length, {interval: 5}).toBe(1);
	await sleep(150);
	await deployment.sever(0, 'refuse-new');
	const answers = await pending;
	expect(answers.filter(answer => answer.isWhole).map(answer => parseEventIds(answer).length)).toEqual(answers.map(() => 20));
	expect(answers.flatMap((_, index) => deployment.ledger.findRuns(`unframed-${index}`))).toHaveLength(answers.length);
});

describe('a host that opens tunnels for another one', () => {
	it('dies halfway: streams go on elsewhere, what may have run isn\'t repeated, and nothing false is promised', async () => {
		const deployment = await startSite();
		await cutFirstHost(deployment);
		for (const plain of deployment.plains) {
			plain.fault = 'dark';
		}

		const host = deployment.hosts[0];
		const stream = deployment.ask({path: '/ask/x', id: 'half-ask', headers: createPromptHeaders(1000, 400)}, host);
		const once = deployment.ask({path: '/once/x', id: 'half-once', body: 'b'}, host);
		await expect.poll(() => deployment.ledger.findRuns('half-ask').length + deployment.ledger.findRuns('half-once').length, {timeout: 3000}).toBe(2);
		const peer = deployment.hosts.find(({name}) => name === findTunnelPeers(deployment).at(-1))!;
		await peer.kill();
		await sleep(300);
		for (const plain of deployment.plains) {
			plain.fault = 'none';
		}

		const [streamed, answered] = await Promise.all([stream, once]);
		expect(parseEventIds(streamed)).toEqual(Array.from({length: 400}, (_, index) => index + 1));
		expect([502, 504]).toContain(answered.status);
		expect(deployment.ledger.findRuns('half-once')).toHaveLength(1);
		expect(await findUnservedOf(deployment, 0, 'after-death', 3)).toEqual([]);
	});

	it('stops as planned: it lets requests in its tunnels end, and new ones go over another host', async () => {
		const deployment = await startSite();
		await cutFirstHost(deployment);
		const pending = Array.from({length: 6}, async (_, index) => deployment.ask({path: '/ask/x', id: `stop-${index}`, headers: createPromptHeaders(1000, 200)}, deployment.hosts[0]));
		await sleep(50);
		const peer = deployment.hosts.find(({name}) => name === findTunnelPeers(deployment).at(-1))!;
		peer.process.kill('SIGTERM');
		await sleep(200);
		expect(await findUnservedOf(deployment, 0, 'while-stopping', 4)).toEqual([]);
		for (const answer of await Promise.all(pending)) {
			expect(parseEventIds(answer)).toHaveLength(200);
		}

		const listEndings = () => deployment.hosts[0]!.findLogLines('attempt-ended').filter(({request}) => String(request).startsWith('stop-')).map(({ending}) => ending);
		await expect.poll(listEndings).toEqual(pending.map(() => 'answered'));
	});
});

it('takes an engine that is silent for a second for no cut', async () => {
	const deployment = await startSite();
	for (const engine of deployment.engines) {
		engine.slowness = 600;
	}

	const pending = deployment.ask({path: '/ask/x', id: 'slow', headers: createPromptHeaders(1000, 2)});
	await sleep(1200);
	for (const engine of deployment.engines) {
		engine.slowness = 1;
	}

	const answer = await pending;
	expect(answer.status).toBe(200);
	expect(deployment.hosts.flatMap(host => host.findLogLines('link-cut'))).toEqual([]);
});

it('opens no tunnel while all links are sound', async () => {
	const deployment = await startSite();
	for (const host of [0, 1, 2]) {
		expect(await findUnservedOf(deployment, host, `calm-${host}`, 4)).toEqual([]);
	}

	expect(deployment.hosts.flatMap(host => [...host.findLogLines('tunnel-opened'), ...host.findLogLines('tunnel-served')])).toEqual([]);
});

it('is told by the logs of both hosts which host carried a request', async () => {
	const deployment = await startSite();
	await cutFirstHost(deployment);
	await findUnserved(deployment, 0, 'traced');
	const findLine = () => deployment.hosts[0]!.findLogLines('attempt-ended', 'traced-ask')[0];
	await expect.poll(() => findLine()?.tunnel).toBeDefined();
	const tunnel = findLine()?.tunnel;
	const opened = deployment.hosts[0]!.findLogLines('tunnel-opened').find(line => line.tunnel === tunnel);
	const peer = deployment.hosts.find(({name}) => name === opened?.peer)!;
	expect(peer.findLogLines('tunnel-served').filter(line => line.tunnel === tunnel)).toMatchObject([{peer: 'host-0', upstream: opened!.upstream}]);
});
