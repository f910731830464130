/** Measures membership, adoption of configurations and rolling replacement on a fleet of real processes; prints a JSON line for each. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Command} from 'commander';
import {Fleet} from '../fleet/fleet.js';
import {type FleetShapeInput} from '../fleet/shape.js';
import {countReversions} from './reversions.js';
import {rollHosts} from './roll.js';
import {fetchHostCost, waitForRevision, waitForLinks} from './status.js';

const domains = ['a', 'b', 'c'];
const publications = 20;
const costWindowMs = 20_000;
const concurrentStreams = 6;

/** Links that each of the seven hosts has at least: one within its failure domain and one to each other domain. */
const minLinks = 3;
const secondMs = 1000;

type Options = {
	readonly rolls: number;
	readonly changes: number;
};

function buildShape(changes: Partial<FleetShapeInput>): FleetShapeInput {
	return {
		timeScale: 10,
		domains,
		hosts: [3, 2, 2],
		engines: [{service: 'check', perDomain: 2}],
		services: [{
			kind: 'model', id: 'check', model: 'm', idempotent: true, deadline: {default: 20_000, most: 60_000},
		}],
		organisations: [{id: 'one'}],
		hostLag: 200,
		entry: {hostsInterval: 500, drainGrace: 30_000},
		...changes,
	};
}

function print(name: string, figures: unknown): void {
	process.stdout.write(`${JSON.stringify({name, figures})}\n`);
}

function summarize(values: readonly number[]) {
	const sorted = values.toSorted((a, b) => a - b);
	return {
		count: sorted.length,
		median: Math.round(sorted[Math.floor(sorted.length / 2)]!),
		most: Math.round(sorted.at(-1)!),
	};
}

async function measurePublications(fleet: Fleet, hosts: readonly string[]): Promise<readonly number[]> {
	const times: number[] = [];
	for (let change = 0; change < publications; change++) {
		const began = performance.now();
		await waitForRevision(fleet, hosts, await fleet.publish(before => before));
		times.push(performance.now() - began);
	}

	return times;
}

async function measureAdoption(): Promise<void> {
	await using fleet = await Fleet.start(buildShape({isProxied: true}));
	const hosts = fleet.hosts.all.map(host => host.id);
	await waitForLinks(fleet, hosts, minLinks);
	print('adoption, milliseconds until in force on 7 hosts', summarize(await measurePublications(fleet, hosts)));
	for (const host of hosts.slice(1)) {
		fleet.applyFault({type: 'refuse', where: {link: `${host}-platform`}});
	}

	fleet.applyFault({type: 'refuse', where: {from: 'a', to: 'c'}});
	fleet.applyFault({type: 'refuse', where: {from: 'c', to: 'a'}});
	await sleep(secondMs);
	print('the same through one host that reads the platform, a and c cut off from each other', summarize(await measurePublications(fleet, hosts)));
}

async function measureCost(): Promise<void> {
	await using fleet = await Fleet.start(buildShape({}));
	const hosts = fleet.hosts.all.map(host => host.id);
	await waitForLinks(fleet, hosts, minLinks);
	const before = await Promise.all(hosts.map(async host => fetchHostCost(fleet, host)));
	const callsBefore = fleet.platformCalls.calls;
	await sleep(costWindowMs);
	const after = await Promise.all(hosts.map(async host => fetchHostCost(fleet, host)));
	const seconds = costWindowMs / secondMs;
	const perSecond = (read: (cost: typeof after[number]) => number) =>
		summarize(after.map((cost, index) => (read(cost) - read(before[index]!)) / seconds));
	print('idle host, per second', {
		bytesSent: perSecond(cost => cost.peerBytes.sent),
		processorMicroseconds: perSecond(cost => cost.processor.user + cost.processor.system),
		coreTickMicroseconds: perSecond(cost => (cost.core.tick?.milliseconds ?? 0) * secondMs),
		corePeerMessageMicroseconds: perSecond(cost => (cost.core['peer-message']?.milliseconds ?? 0) * secondMs),
		peerMessages: perSecond(cost => cost.core['peer-message']?.events ?? 0),
		platformCallsPerHost: Math.round((fleet.platformCalls.calls - callsBefore) / seconds / hosts.length * 100) / 100,
	});
}

async function run({rolls, changes}: Options): Promise<void> {
	await measureAdoption();
	await measureCost();
	{
		await using fleet = await Fleet.start(buildShape({}));
		print('changes with stale reads and restarts', await countReversions(fleet, changes, 20));
	}

	await using fleet = await Fleet.start(buildShape({}));
	print('rolling replacement under load', await rollHosts(fleet, rolls, concurrentStreams));
}

await new Command('membership')
	.option('--rolls <count>', 'hosts to replace', Number, 50)
	.option('--changes <count>', 'documents to publish', Number, 200)
	.action(run)
	.parseAsync();
