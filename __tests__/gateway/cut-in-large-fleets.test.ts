/** Hosts of a fleet with relays that have lost their links to upstreams, while callers, the store and the other hosts reach them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, expect, it,
} from 'vitest';
import {createPromptHeaders, parseEventIds} from '../../bench/gateway/caller-requests.js';
import {type Host} from '../../bench/gateway/host.js';
import {Site} from '../../bench/gateway/site.js';
import {maxFullMeshHosts, selectRelays} from '../../src/gateway/peers/topology.js';
import {type Severance} from '../../stand-ins/proxy/severable-link.js';

const failureDomains = ['a', 'b'];
const hostCount = maxFullMeshHosts + 2;
const events = 3;

/** Time after a cut within which hosts may still learn of it. */
const learningTimeMs = 2000;

let site: Site | undefined;

afterEach(async () => {
	await site?.[Symbol.asyncDispose]();
	site = undefined;
});

async function startSite(): Promise<Site> {
	site = await Site.start({
		hosts: hostCount, engines: 4, plains: 2, failureDomains, hasSeverableLinks: true,
	});
	await expect.poll(() => site!.hosts.every(host => host.findLogLines('peer-linked').length >= 2), {timeout: 10_000}).toBe(true);
	// Every host learns of all others from the relays.
	await sleep(1500);
	return site;
}

function findDomain(index: number): string {
	return failureDomains[index % failureDomains.length]!;
}

const all = Array.from({length: hostCount}, (_, index) => index);
const relays = new Set(failureDomains.flatMap(domain =>
	selectRelays(domain, all.map(index => ({name: `host-${index}`, failureDomain: findDomain(index), capacity: 1}))).map(({name}) => Number(name.replace('host-', '')))));

async function sever(deployment: Site, hosts: readonly number[], severance: Severance): Promise<void> {
	await Promise.all(hosts.map(async host => deployment.sever(host, severance)));
}

/** Sends requests of each kind to hosts; returns those that weren't answered completely at the first attempt. */
async function findUnserved(deployment: Site, hosts: readonly number[], name: string, rounds = 2): Promise<readonly string[]> {
	const unserved: string[] = [];
	await Promise.all(hosts.map(async index => {
		const host = deployment.hosts[index]!;
		for (let round = 0; round < rounds; round++) {
			const id = `${name}-${index}-${round}`;
			const [stream, once] = await Promise.all([
				deployment.ask({path: '/ask/x', id: `${id}-ask`, headers: createPromptHeaders(1000, events)}, host),
				deployment.ask({path: '/once/x', id: `${id}-once`, body: 'b'}, host),
			]);
			unserved.push(
				...(stream.status === 200 && parseEventIds(stream).length === events ? [] : [`${id}-ask: ${stream.status}`]),
				...(once.status === 200 && once.isWhole ? [] : [`${id}-once: ${once.status} ${once.body.slice(0, 80)}`]),
			);
		}
	}));
	return unserved;
}

/** Returns which upstreams hosts doubted, and on whose evidence. */
function listDoubts(hosts: readonly Host[]): readonly string[] {
	return hosts.flatMap(host => host.findLogLines('upstream-doubted').map(({upstream, verdict, peer = 'an attempt'}) => `${host.name}: ${String(upstream)} ${String(verdict)} by ${String(peer)}`));
}

it.each(['reset', 'hang'] as const)('find a way over hosts of other failure domains if their relays are cut off as well: %s', {timeout: 60_000}, async severance => {
	const deployment = await startSite();
	const ofDomain = all.filter(index => findDomain(index) === 'a');
	const cut = [...ofDomain.filter(index => relays.has(index)), ...ofDomain.filter(index => !relays.has(index)).slice(0, 3)];
	const sound = ofDomain.filter(index => !cut.includes(index));
	expect(await findUnserved(deployment, all, 'before', 1)).toEqual([]);
	await sever(deployment, cut, severance);
	await Promise.all([sleep(learningTimeMs), findUnserved(deployment, cut.slice(0, 3), 'learning')]);
	expect(await findUnserved(deployment, cut, 'cut', 3)).toEqual([]);
	expect(await findUnserved(deployment, sound, 'sound', 2)).toEqual([]);
	expect(listDoubts(sound.map(index => deployment.hosts[index]!))).toEqual([]);
	expect(deployment.hosts.flatMap(host => host.findLogLines('convicted'))).toEqual([]);
});

it('find a way if nine of ten hosts are cut off, with and without traffic until then, and a host that starts later does', {timeout: 60_000}, async () => {
	const deployment = await startSite();
	const kept = all.filter(index => !relays.has(index)).slice(0, 2);
	const cut = all.filter(index => !kept.includes(index));
	const late = cut.findLast(index => !relays.has(index))!;
	await deployment.hosts[late]!.kill();
	await sever(deployment, cut, 'reset');
	const running = cut.filter(index => index !== late);
	await Promise.all([sleep(learningTimeMs), findUnserved(deployment, running.slice(0, 4), 'learning')]);
	expect(await findUnserved(deployment, running, 'cut')).toEqual([]);
	deployment.hosts[late]!.start();
	await deployment.waitUntilReady(deployment.hosts[late]!);
	await Promise.all([sleep(learningTimeMs), findUnserved(deployment, [late], 'started')]);
	expect(await findUnserved(deployment, [late], 'late')).toEqual([]);
	const givers = new Set(deployment.hosts.flatMap(host => host.findLogLines('tunnel-opened')).map(({peer}) => peer));
	expect(givers).toEqual(new Set(kept.map(index => `host-${index}`)));
});

it('refuse at once if no host reaches an upstream, and find a way once one does', {timeout: 60_000}, async () => {
	const deployment = await startSite();
	await sever(deployment, all, 'hang');
	const asked = all.slice(0, 4);
	await Promise.all([sleep(learningTimeMs), findUnserved(deployment, asked, 'learning', 3)]);
	const began = performance.now();
	const refusals = await Promise.all(asked.map(async index => deployment.ask({path: '/ask/x', id: `none-${index}`, headers: createPromptHeaders(1000, events)}, deployment.hosts[index])));
	expect(performance.now() - began).toBeLessThan(1000);
	expect(refusals.map(({status}) => status)).toEqual(asked.map(() => 503));
	const restored = all.findLast(index => !relays.has(index))!;
	await deployment.restore(restored);
	await sleep(3000);
	expect(await findUnserved(deployment, asked, 'restored')).toEqual([]);
});
