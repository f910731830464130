/** Lets engines of a small deployment of real hosts fall silent, and counts what that does to streams. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfiguration, createServices, engineConfiguration} from '../gateway/configuration.js';
import {ConnectionError, createPromptHeaders, parseEventIds} from '../gateway/caller-requests.js';
import {type Host} from '../gateway/host.js';
import {Site} from '../gateway/site.js';
import {createRandom} from '../model/workload.js';

export type SilenceOptions = {
	readonly seed: number;
	readonly hosts: number;
	readonly engines: number;
	/** Engines that fall silent each time. */
	readonly silent: number;
	/** Whether they never send anything again, as engines whose connections stay open without them. */
	readonly isForever: boolean;
	/** Whether the retry budget is spent. */
	readonly isBudgetSpent: boolean;
	/** Whether the configuration changes before and during each silence. */
	readonly hasChanges: boolean;
	/** Whether the configuration states the usual answer as long as those of this experiment, or far shorter. */
	readonly isUsualTrue: boolean;
	/** Milliseconds in which requests are sent. */
	readonly length: number;
	/** Requests per second, at all hosts together. */
	readonly rate: number;
};

export type SilenceReport = {
	readonly requests: number;
	readonly whole: number;
	/** Answers that began and did not end whole, also those that were not complete at their deadline. */
	readonly cut: number;
	/** How the requests ended whose answers aren't whole, as logged by the hosts. */
	readonly outcomes: Readonly<Record<string, number>>;
	/** Requests that were refused, or failed before their answer began. */
	readonly unserved: number;
	/** Requests that reached two engines, also those that one of them only queued. */
	readonly reachedTwo: number;
	/** Requests that two engines began to work on. */
	readonly beganAtTwo: number;
	/** Of the requests sent while engines were silent: how many were served. */
	readonly servedInSilence: number;
	readonly sentInSilence: number;
	/** Longest gaps in the streams that reached two engines, in milliseconds: median and maximum. */
	readonly medianGap: number;
	readonly longestGap: number;
};

type Stream = {
	readonly id: string;
	readonly isSentInSilence: boolean;
	readonly hasBegun: boolean;
	readonly isWhole: boolean;
	/** Longest time between two chunks, in milliseconds. */
	readonly gap: number;
};

const domains = ['a', 'b', 'c'];
const eventCount = 160;
const promptTokens = 1000;
/** Time in milliseconds that a request has, as its caller and its route state. */
const deadlineMs = 8000;
const pauseMs = {least: 1000, most: 1900};
const gapMs = {least: 1500, most: 3000};

function createExperimentConfiguration(version: number, {isUsualTrue}: SilenceOptions): unknown {
	const usual = isUsualTrue ? {prompt: promptTokens, answer: eventCount * engineConfiguration.Stride} : engineConfiguration.usual;
	return createConfiguration(version, {Services: createServices({usual})});
}

async function send(site: Site, host: Host, id: string, isSentInSilence: boolean): Promise<Stream> {
	let last: number | undefined;
	let gap = 0;
	try {
		const answer = await site.ask({
			path: '/ask/x',
			id,
			headers: {...createPromptHeaders(promptTokens, eventCount), 'X-Deadline-Ms': String(deadlineMs)},
			onData() {
				const now = performance.now();
				gap = Math.max(gap, now - (last ?? now));
				last = now;
			},
		}, host);
		const ids = parseEventIds(answer);
		const isWhole = answer.status === 200 && answer.isWhole && ids.length === eventCount && ids.every((event, index) => event === index + 1);
		return {
			id, isSentInSilence, hasBegun: last !== undefined && answer.status === 200, isWhole, gap,
		};
	} catch (error) {
		if (error instanceof ConnectionError) {
			return {
				id, isSentInSilence, hasBegun: false, isWhole: false, gap,
			};
		}

		throw error;
	}
}

function findQuantile(values: readonly number[], share: number): number {
	return values.toSorted((a, b) => a - b)[Math.min(Math.floor(values.length * share), values.length - 1)] ?? 0;
}

/**
 * @param options - Deployment, load and silences.
 * @returns What became of the streams.
 */
export async function measureSilence(options: SilenceOptions): Promise<SilenceReport> {
	const random = createRandom(options.seed);
	await using site = await Site.start({
		hosts: options.hosts,
		engines: options.engines,
		failureDomains: domains,
		settings: options.isBudgetSpent ? {retries: {ratio: 0, window: 10_000, allowance: 0}} : {},
	});
	site.store.put('op/config', createExperimentConfiguration(2, options));
	const streams: Array<Promise<Stream>> = [];
	const end = performance.now() + options.length;
	let silentUntil = 0;
	const sending = (async () => {
		for (let index = 0; performance.now() < end; index++) {
			streams.push(send(site, site.hosts[index % options.hosts]!, `stream-${index}`, performance.now() < silentUntil));
			await sleep(1000 / options.rate);
		}
	})();
	let version = 2;
	const change = () => {
		version++;
		site.store.put('op/config', createExperimentConfiguration(version, options));
	};

	for (;;) {
		await sleep(random.integer(gapMs.least, gapMs.most));
		if (performance.now() >= end) {
			break;
		}

		if (options.hasChanges) {
			change();
			await sleep(random.integer(0, 300));
		}

		const pause = options.isForever ? options.length * 10 : random.integer(pauseMs.least, pauseMs.most);
		silentUntil = performance.now() + Math.min(pause, pauseMs.most);
		const first = random.integer(0, options.engines - 1);
		for (let index = 0; index < options.silent; index++) {
			site.engines[(first + index) % options.engines]!.pause(pause);
		}

		if (options.hasChanges) {
			change();
		}

		if (options.isForever) {
			break;
		}

		await sleep(pause);
	}

	await sending;
	return createReport(site, await Promise.all(streams));
}

function createReport(site: Site, streams: readonly Stream[]): SilenceReport {
	const repeated = streams.filter(({id}) => site.ledger.findRuns(id).length > 1);
	const inSilence = streams.filter(each => each.isSentInSilence);
	const gaps = repeated.filter(each => each.isWhole).map(({gap}) => Math.round(gap));
	return {
		requests: streams.length,
		whole: streams.filter(each => each.isWhole).length,
		outcomes: countOutcomes(site, streams.filter(each => !each.isWhole)),
		cut: streams.filter(each => each.hasBegun && !each.isWhole).length,
		unserved: streams.filter(each => !each.hasBegun).length,
		reachedTwo: repeated.length,
		beganAtTwo: streams.filter(({id}) => site.ledger.findBeginnings(id).length > 1).length,
		servedInSilence: inSilence.filter(each => each.isWhole).length,
		sentInSilence: inSilence.length,
		medianGap: findQuantile(gaps, 0.5),
		longestGap: findQuantile(gaps, 1),
	};
}

function countOutcomes(site: Site, streams: readonly Stream[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	const ids = new Set(streams.map(({id}) => id));
	for (const {request, outcome, took} of site.hosts.flatMap(host => host.findLogLines('ended'))) {
		if (ids.has(String(request))) {
			const name = Number(took) < deadlineMs ? String(outcome) : `${String(outcome)} at the deadline`;
			counts[name] = (counts[name] ?? 0) + 1;
		}
	}

	return counts;
}
