/**
 * Two fleets whose upstreams have the same ids, with a host of one as a seed of the other. Guards against their becoming one fleet, in
 * which the configuration, registrations, departures and loads of one apply to the other's upstreams.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {createConfiguration} from '../../bench/gateway/configuration.js';
import {type Host} from '../../bench/gateway/host.js';
import {Site, type SiteOptions} from '../../bench/gateway/site.js';

const observationMs = 2500;
const foreignHostCode = 8005;

/** Advances the store, so that its positions and configuration are later than the other fleet's. */
function advanceStore(site: Site): void {
	for (let version = 2; version <= 9; version++) {
		site.store.put('op/config', createConfiguration(version));
	}
}

function listVersions(hosts: readonly Host[]): readonly unknown[] {
	return [...new Set(hosts.map(host => host.findLogLines('configuration').at(-1)?.version))];
}

async function askAll(site: Site, prefix: string): Promise<readonly unknown[]> {
	const ids = site.hosts.flatMap((_, host) => Array.from({length: 8}, (__, index) => ({host, id: `${prefix}-${host}-${index}`})));
	const answers = await Promise.all(ids.map(async ({host, id}) => site.ask({path: '/read/x', id}, site.hosts[host])));
	return ids.map(({id}, index) => [answers[index]!.status, site.ledger.findRuns(id).length]);
}

async function checkSeparation(first: Site, options: SiteOptions, linksPerHost: number): Promise<void> {
	advanceStore(first);
	await using second = await Site.start({...options, extraSeeds: first.hosts.map(host => host.peer)});
	first.plains[0]!.drain();
	first.register(first.plains[0]!);
	await sleep(observationMs);
	expect([listVersions(first.hosts), listVersions(second.hosts)]).toEqual([[9], [1]]);
	expect([...new Set(await askAll(first, 'first')), ...new Set(await askAll(second, 'second'))].every(each => JSON.stringify(each) === '[200,1]')).toBe(true);
	for (const host of second.hosts) {
		expect(host.findLogLines('peer-linked')).toHaveLength(linksPerHost);
		const foreign = host.findLogLines('peer-foreign');
		expect(foreign.length).toBeGreaterThan(0);
		expect(foreign.length).toBeLessThanOrEqual(first.hosts.length + 1);
		expect([foreign[0]!.code, typeof foreign[0]!.own, typeof foreign[0]!.peer]).toEqual([foreignHostCode, 'string', 'string']);
		expect(host.findLogLines('store-restored')).toEqual([]);
		const metrics = await fetch(`http://${host.metrics.host}:${host.metrics.port}/metrics`);
		expect(await metrics.text()).toMatch(/cranberrytide_peer_connections_refused\{reason="foreign"\} [1-9]/v);
	}

	// An upstream that leaves the first fleet is still used in the second one.
	expect(second.ledger.findRuns('second-0-0')).toHaveLength(1);
	const used = new Set(Array.from({length: 8}, (_, index) => second.ledger.findRuns(`second-0-${index}`)[0]?.upstream));
	expect(used).toContain('plain-0');
	expect(first.hosts.every(host => host.findLogLines('peer-foreign').length <= second.hosts.length + 1)).toBe(true);
}

it('serves callers of each as if the other were not there, without a key', {timeout: 90_000}, async () => {
	await using first = await Site.start({hosts: 2});
	await checkSeparation(first, {hosts: 2}, 1);
});

it('serves callers of a host that has only foreign seeds as one that is alone', {timeout: 90_000}, async () => {
	await using first = await Site.start({hosts: 2});
	await checkSeparation(first, {hosts: 1}, 0);
});

it('keeps fleets with different keys apart, and links hosts while the key is rotated', {timeout: 90_000}, async () => {
	await using first = await Site.start({hosts: 2, settings: {fleet: {keys: ['key of the first fleet']}}});
	const keys = ['old key of the second', 'new key of the second'];
	await checkSeparation(first, {hosts: 2, settings: {fleet: {keys}}}, 1);
});

it('links hosts that reach the same store at different addresses', {timeout: 60_000}, async () => {
	await using site = await Site.start({hosts: 3, secondaryStoreHost: 1});
	await expect.poll(() => site.hosts.every(host => host.findLogLines('peer-linked').length >= 2), {timeout: 20_000}).toBe(true);
	expect(site.hosts.flatMap(host => host.findLogLines('peer-foreign'))).toEqual([]);
});

it('links a host that restarts while its address of the store does not answer', {timeout: 60_000}, async () => {
	await using site = await Site.start({hosts: 3, secondaryStoreHost: 1});
	const [first, second] = [site.hosts[0]!, site.hosts[1]!];
	await expect.poll(() => site.hosts.every(host => host.findLogLines('peer-linked').length >= 2), {timeout: 20_000}).toBe(true);
	site.store.secondaryMode = 'reset';
	await second.kill();
	second.start();
	await site.waitUntilReady(second);
	expect(first.findLogLines('peer-linked').length).toBeGreaterThanOrEqual(3);
});

/** Writes the keys to the settings of a host, and waits until it has read them. */
async function changeKeys(host: Host, keys: readonly string[]): Promise<void> {
	const reloads = host.findLogLines('reloaded').length;
	const settings = readFileSync(host.settingsFile, 'utf8').replace(/"keys":\[[^\]]*\]/v, `"keys":${JSON.stringify(keys)}`);
	writeFileSync(host.settingsFile, settings);
	host.process.kill('SIGHUP');
	await expect.poll(() => host.findLogLines('reloaded').length, {timeout: 10_000}).toBeGreaterThan(reloads);
}

it('links hosts at every step of a rotation of their key by reloads', {timeout: 60_000}, async () => {
	const [oldKey, newKey] = ['the old key of this fleet', 'the new key of this fleet'];
	await using site = await Site.start({hosts: 2, settings: {fleet: {keys: [oldKey]}}});
	const [first, second] = [site.hosts[0]!, site.hosts[1]!];
	await expect.poll(() => first.findLogLines('peer-linked').length, {timeout: 10_000}).toBe(1);
	for (const keys of [[oldKey, newKey], [newKey]]) {
		for (const host of site.hosts) {
			await changeKeys(host, keys);
			await second.kill();
			const links = first.findLogLines('peer-linked').length;
			second.start();
			await expect.poll(() => first.findLogLines('peer-linked').length, {timeout: 10_000}).toBeGreaterThan(links);
			await site.waitUntilReady(second);
		}
	}

	const answers = await askAll(site, 'rotated');
	expect(answers.every(each => JSON.stringify(each) === '[200,1]')).toBe(true);
	expect(site.hosts.flatMap(host => host.findLogLines('peer-foreign'))).toEqual([]);
});
