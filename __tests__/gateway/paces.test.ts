/** Three hosts in front of an engine that becomes much slower than its configuration states, and restarts. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import {createPromptHeaders, type Answer} from '../../bench/gateway/caller-requests.js';
import {type Host} from '../../bench/gateway/host.js';
import {Site} from '../../bench/gateway/site.js';

/** An iteration then takes 100 ms instead of 10. */
const slowness = 10;
const requestIntervalMs = 60;

let site: Site;

beforeEach(async () => {
	site = await Site.start({hosts: 3, engines: 3, plains: 0});
	await expect.poll(() => site.hosts.every(host => host.findLogLines('peer-linked').length >= 2), {timeout: 20_000}).toBe(true);
});

afterEach(async () => {
	await site[Symbol.asyncDispose]();
});

/** Sends prompts to hosts in turn at a constant rate, and returns their answers. */
async function sendPrompts(name: string, milliseconds: number, hosts: readonly Host[] = site.hosts): Promise<readonly Answer[]> {
	const pending: Array<Promise<Answer>> = [];
	const begin = performance.now();
	while (performance.now() - begin < milliseconds) {
		const host = hosts[pending.length % hosts.length];
		pending.push(site.ask({path: '/ask/x', id: `${name}-${pending.length}`, headers: createPromptHeaders(1000, 20)}, host));
		await sleep(requestIntervalMs);
	}

	return Promise.all(pending);
}

// Guards against paces that stay with one host, outlive the process that was measured, or cost a caller its answer.
it('is avoided by all hosts while it is slow, and used again after its restart', async () => {
	const [informed, ...learning] = site.hosts;
	await sendPrompts('before', 1000, learning);
	const counts = new Map(site.engines.map(engine => [engine, engine.arrivals.length]));
	await sendPrompts('settled', 800, learning);
	// Which idle engines hosts prefer may change while they start.
	const [slow, ...others] = site.engines.toSorted((a, b) => b.arrivals.length - counts.get(b)! - (a.arrivals.length - counts.get(a)!));
	slow!.slowness = slowness;
	await sendPrompts('learning', 3000, learning);
	const count = slow!.arrivals.length;
	const answers = await sendPrompts('learned', 2000);
	const share = (slow!.arrivals.length - count) / answers.length;
	expect(share).toBeLessThan(0.25);
	expect(answers.filter(answer => answer.status !== 200)).toEqual([]);
	const listSources = (hosts: readonly Host[]) => hosts.flatMap(host => host.findLogLines('engine-pace').filter(line => line.upstream === slow!.id).map(line => line.source));
	expect(listSources(learning)).toContain('response');
	expect(String(listSources([informed!])[0])).toMatch(/^host-/v);
	expect(site.hosts.flatMap(host => host.findLogLines('peer-lost'))).toEqual([]);

	slow!.restart();
	site.register(slow!);
	await expect.poll(() => site.hosts.every(host => host.findLogLines('upstream-restarted').length > 0), {timeout: 20_000}).toBe(true);
	const before = slow!.arrivals.length;
	for (const other of others) {
		other.slowness = slowness;
	}

	await sendPrompts('restarted', 2000);
	expect(slow!.arrivals.length).toBeGreaterThan(before);
}, 60_000);
