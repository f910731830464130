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
