/** Six hosts follow the store through its return from a backup: two read it, and the others ask them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import {Site} from '../../bench/gateway/site.js';
import {createConfiguration} from '../../bench/gateway/configuration.js';
import {UpstreamStandIn} from '../../stand-ins/gateway/upstream.js';

const drainDelayMs = 2000;
const outageMs = 500;

let site: Site;
let late: UpstreamStandIn;

beforeEach(async () => {
	site = await Site.start({
		hosts: 6, plains: 3, engines: 1, settings: {drainDelay: drainDelayMs, configurationDelay: drainDelayMs},
	});
	late = new UpstreamStandIn({
		id: 'plain-late', service: 'plain', failureDomain: 'a', slots: 6, ledger: site.ledger, answerDelay: 20,
	});
	await late.listen();
	await expect.poll(() => site.hosts.every(host => host.findLogLines('peer-linked').length >= 5), {timeout: 20_000}).toBe(true);
});

afterEach(async () => {
	await late[Symbol.asyncDispose]();
	await site[Symbol.asyncDispose]();
});

/** Advances the revision of the store. */
function registerEngine(times: number): void {
	for (let count = 0; count < times; count++) {
		site.register(site.engines[0]!);
	}
}

async function askAll(prefix: string): Promise<ReadonlySet<string>> {
	const ids = site.hosts.flatMap((_, host) => Array.from({length: 6}, (__, index) => ({host, id: `${prefix}-${host}-${index}`})));
	await Promise.all(ids.map(async ({host, id}) => site.ask({path: '/read/x', id}, site.hosts[host])));
	return new Set(ids.flatMap(({id}) => site.ledger.findRuns(id).map(run => run.upstream)));
}

it('sends no work to an upstream that drains at a revision that is assigned again, and uses one that registers there', {timeout: 60_000}, async () => {
	const backup = site.store.backUp();
	registerEngine(5);
	await sleep(drainDelayMs);
	site.store.mode = 'reset';
	await sleep(outageMs);
	site.store.restore(backup);
	site.plains[0]!.drain();
	site.register(site.plains[0]!);
	site.register(late);
	registerEngine(8);
	site.store.mode = 'serving';
	await expect.poll(() => site.hosts.every(host => host.findLogLines('store-restored').length === 1), {timeout: 10_000}).toBe(true);
	await sleep(drainDelayMs);
	const used = await askAll('after');
	expect([used.has('plain-0'), used.has('plain-late')]).toEqual([false, true]);
});

it('keeps the configuration and its revoked keys at hosts that had them, and gives it to one that starts on the backup', {timeout: 60_000}, async () => {
	const backup = site.store.backUp();
	site.store.put('op/config', createConfiguration(2, {Tenants: [{Name: 'acme', ApiKeys: ['another'], Priority: 1}]}));
	await expect.poll(() => site.hosts.every(host => host.findLogLines('configuration').at(-1)?.version === 2), {timeout: 10_000}).toBe(true);
	site.store.restore(backup);
	const [started] = site.hosts.slice(-1);
	await started!.kill();
	const linesBefore = started!.lines.length;
	started!.start();
	await site.waitUntilReady(started!);
	await expect.poll(() => started!.lines.slice(linesBefore).findLast(line => line.event === 'configuration')?.version, {timeout: 10_000}).toBe(2);
	for (const [index, host] of site.hosts.entries()) {
		const answer = await site.ask({path: '/read/x', id: `revoked-${index}`}, host);
		expect(answer.status).toBe(401);
	}
});
