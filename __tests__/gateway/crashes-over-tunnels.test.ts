/** Requests that crash engines, at a host that reaches these over other hosts only. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {createPromptHeaders} from '../../bench/gateway/caller-requests.js';
import {Site} from '../../bench/gateway/site.js';

let site: Site | undefined;

afterEach(async () => {
	await site?.[Symbol.asyncDispose]();
	site = undefined;
});

/** After the third crash and this time, in milliseconds, at most so many further requests may reach engines. */
const crashesBefore = 3;
const settleTimeMs = 3000;
const permittedArrivals = 3;

it('are refused, though the host has lost its own links to all engines', async () => {
	const deployment = await Site.start({
		hosts: 3, engines: 4, plains: 0, failureDomains: ['a', 'b'], hasSeverableLinks: true,
	});
	site = deployment;
	await expect.poll(() => deployment.hosts.every(host => host.findLogLines('peer-linked').length >= 2), {timeout: 10_000}).toBe(true);
	const ask = async (id: string, part: string) => deployment.ask({
		path: '/ask/x', id, body: 'b', headers: {...createPromptHeaders(1000, 3), 'X-Prefix-Hash': `${part}:200,own:800`},
	}, deployment.hosts[0]);
	await deployment.sever(0, 'reset');
	await sleep(1000);
	expect(await ask('sound', 'good')).toMatchObject({status: 200, isWhole: true});
	for (const engine of deployment.engines) {
		deployment.crashUnder(engine, new Set(['bad']), 1500, 'same id');
	}

	const statuses: number[] = [];
	for (let number = 0; number < 12; number++) {
		const [{status}] = await Promise.all([ask(`bad-${number}`, 'bad'), sleep(800)]);
		statuses.push(status);
	}

	const crashes = deployment.engines.flatMap(engine => engine.crashes).toSorted((a, b) => a - b);
	const late = deployment.engines.flatMap(({arrivals}) => arrivals)
		.filter(({request, at}) => request.startsWith('bad-') && at > (crashes[crashesBefore - 1] ?? Number.POSITIVE_INFINITY) + settleTimeMs);
	expect(late.length).toBeLessThanOrEqual(permittedArrivals);
	expect(statuses.slice(-3)).toEqual([503, 503, 503]);
});
