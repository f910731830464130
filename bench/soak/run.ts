/** Runs one soak: real gateway processes under injected faults, and callers whose records are checked against the guarantees. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createRandom} from '../model/workload.js';
import {Client, pausableKinds, usualKinds} from './clients.js';
import {findLateAtEvacuated} from './evacuations.js';
import {
	engineCount, failureDomains, Testbed, plainCount,
} from './testbed.js';
import {planFaults} from './plan.js';
import {countPausable, pausableCount, type PausableCounts} from './pausable-engines.js';
import {findColdOverruns} from './cold-engines.js';
import {findBrokenGuarantees, hasReversion} from './guarantees.js';
import {findFalseConvictions, findPoisonOverruns} from './poison.js';
import {findIgnoredStatements} from './statements.js';
import {EventLoopLag, findUnrecovered} from './recovery.js';

/** Separates the draws of answers that are read late from those of the requests. */
const readingSeedOffset = 3_000_017;

/** Callers of engines that are only paused, and the separation of their draws from those of the others. */
const pausableClientCount = 12;
const pausableSeedOffset = 4_000_037;

export type SoakOptions = {
	readonly seed: number;
	readonly hosts: number;
	readonly clients: number;
	/** Milliseconds in which faults begin. */
	readonly length: number;
	/** Whether each host has links of its own to the upstreams, which are severed; hosts then know each other by a key. */
	readonly hasSeverableLinks: boolean;
	/** Whether hosts may send requests again that have failed. */
	readonly hasRetryBudget: boolean;
};

export type SoakResult = {
	readonly requests: number;
	readonly served: number;
	readonly faults: number;
	readonly pausable: PausableCounts;
	/** Descriptions of broken guarantees. */
	readonly broken: readonly string[];
	/** Faults and outages in order, to trace the cause of a broken guarantee. */
	readonly history: readonly string[];
	/** Log lines of all hosts, by time. */
	readonly logs: ReadonlyArray<Record<string, unknown>>;
};

/**
 * @param options - Seed and size.
 * @returns What was served and which guarantees were broken.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
	using lag = new EventLoopLag();
	await using testbed = await Testbed.start(options);
	const {site} = testbed;
	const planned = planFaults(options.seed, {
		hosts: options.hosts,
		upstreams: engineCount + plainCount,
		engines: engineCount,
		pausableEngines: pausableCount,
		links: testbed.links,
		domains: failureDomains.length,
		length: options.length,
		hasSeverableLinks: options.hasSeverableLinks,
	});
	const findCrowdedHost = () => testbed.crowdedHost;
	const usualClients = Array.from({length: options.clients}, (_, index) => {
		const seed = (options.seed * 1000) + index;
		return new Client(`c${index}`, {site, findCrowdedHost, kinds: usualKinds}, createRandom(seed), createRandom(seed + readingSeedOffset));
	});
	const pausableClients = Array.from({length: pausableClientCount}, (_, index) => {
		const seed = (options.seed * 1000) + index + pausableSeedOffset;
		return new Client(`p${index}`, {site, findCrowdedHost, kinds: pausableKinds}, createRandom(seed), createRandom(seed + readingSeedOffset));
	});
	const clients = [...usualClients, ...pausableClients];
	const ending = new AbortController();
	const running = clients.map(async client => client.run(ending.signal));
	const began = performance.now();
	for (const {at, fault} of planned) {
		await sleep(Math.max(0, began + at - performance.now()));
		testbed.inject(fault);
	}

	await testbed.settle();
	ending.abort();
	await Promise.all(running);
	const unrecovered = await findUnrecovered(testbed);
	const upstreams = [...site.engines, ...site.plains];
	const requests = clients.flatMap(client => client.records);
	const evacuationHistory = {evacuations: testbed.evacuations.history, gaps: [...testbed.storeGaps, ...testbed.outages]};
	const reversions = testbed.appliedVersions().filter(versions => hasReversion(versions)).map(versions => `a host reverted to an earlier configuration: ${versions.join(', ')}`);
	return {
		requests: requests.length,
		served: requests.filter(({result}) => result.type === 'answered' && result.answer.status === 200 && result.answer.isWhole).length,
		faults: planned.length,
		pausable: countPausable(requests, id => site.ledger.findRuns(id), testbed.pausableEngines.pauses),
		history: testbed.history,
		logs: site.hosts.flatMap(host => host.lines).toSorted((a, b) => String(a.time).localeCompare(String(b.time))),
		broken: [
			...findBrokenGuarantees(requests, id => site.ledger.findRuns(id), testbed.outages, lag.most),
			...findIgnoredStatements(upstreams, requests, testbed.outages, lag.most),
			...findColdOverruns(site.engines, requests, site.hosts, lag.most),
			...findPoisonOverruns(testbed.poison.episodes, site.engines, testbed.outages),
			...findFalseConvictions(site.hosts),
			...findLateAtEvacuated(upstreams, requests, evacuationHistory, lag.most),
			...testbed.pausableEngines.ended,
			...unrecovered,
			...reversions,
		],
	};
}
