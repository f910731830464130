/** Parts of prompts that crash every engine which begins to write an answer on them, while requests with them come at all hosts. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {createPromptHeaders, parseEventIds} from '../../bench/gateway/caller-requests.js';
import {Site} from '../../bench/gateway/site.js';

let site: Site | undefined;

afterEach(async () => {
	await site?.[Symbol.asyncDispose]();
	site = undefined;
});

const events = 6;
const sharedParts = ['a0', 'a1', 'a2'];
const absenceMs = 3000;

/** Time in milliseconds for requests that were sent before the last permitted crash to reach engines. */
const underWayMs = 400;

/** Crashes under one part after which no further request with it may be sent to an engine. */
const permittedCrashes = 5;

type Sent = {readonly id: string; readonly host: number; readonly at: number; readonly isServed: boolean};

/** Sends requests at a steady rate, in turn to all hosts, until it is stopped. */
class Traffic {
	readonly sent: Sent[] = [];
	readonly #pending: Array<Promise<void>> = [];
	readonly #site: Site;
	#isStopped = false;

	constructor(deployment: Site) {
		this.#site = deployment;
	}

	/**
	 * @param name - Prefix of the ids.
	 * @param interval - Milliseconds between two requests.
	 * @param listParts - Returns the parts of a prompt except the last one.
	 */
	async run(name: string, interval: number, listParts: (index: number) => readonly string[]): Promise<void> {
		for (let index = 0; !this.#isStopped; index++) {
			this.#pending.push(this.#send(`${name}-${index}`, listParts(index), index));
			await sleep(interval);
		}
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#pending);
	}

	/** Returns the share of the requests sent in a span that were answered completely, to all hosts or all but one. */
	share(name: string, from: number, to: number, except?: number): number {
		const counted = this.sent.filter(each => each.id.startsWith(`${name}-`) && each.at >= from && each.at < to && each.host !== except);
		expect(counted.length).toBeGreaterThan(20);
		return counted.filter(each => each.isServed).length / counted.length;
	}

	async #send(id: string, parts: readonly string[], index: number): Promise<void> {
		const at = performance.now();
		const host = index % this.#site.hosts.length;
		const headers = {...createPromptHeaders(3000, events), 'X-Prefix-Hash': [...parts, `own-${id}`].map(part => `${part}:500`).join(',')};
		try {
			const answer = await this.#site.ask({
				path: '/ask/x', id, body: id, headers,
			}, this.#site.hosts[host]);
			this.sent.push({
				id, host, at, isServed: answer.status === 200 && answer.isWhole && parseEventIds(answer).length === events,
			});
		} catch {
			this.sent.push({
				id, host, at, isServed: false,
			});
		}
	}
}

function listCrashes(deployment: Site): readonly number[] {
	return deployment.engines.flatMap(engine => engine.crashes).toSorted((a, b) => a - b);
}

function listArrivals(deployment: Site, name: string): readonly number[] {
	return deployment.engines.flatMap(engine => engine.arrivals).filter(({request}) => request.startsWith(`${name}-`)).map(({at}) => at).toSorted((a, b) => a - b);
}

/** Waits for the permitted crashes, or until there are no more; returns when the last of them was. */
async function awaitCrashes(deployment: Site): Promise<number> {
	await expect.poll(() => listCrashes(deployment).length, {timeout: 8000}).toBeGreaterThan(0);
	await sleep(3000);
	return listCrashes(deployment).slice(0, permittedCrashes).at(-1)!;
}

const places = [
	['first', (index: number) => ['bad', sharedParts[index % 3]!]],
	['in the middle', (index: number) => [sharedParts[index % 3]!, 'bad']],
] as const;

describe.each(places)('a part that crashes engines and comes %s', (_, listBadParts) => {
	it('reaches no engine after the fifth crash, and sound requests with the other parts are served as before', async () => {
		site = await Site.start({hosts: 3, engines: 12, failureDomains: ['a', 'b', 'c']});
		for (const engine of site.engines) {
			site.crashUnder(engine, new Set(['bad']), absenceMs);
		}

		const traffic = new Traffic(site);
		void traffic.run('sound', 30, index => [sharedParts[index % 3]!]);
		await sleep(2000);
		const began = performance.now();
		void traffic.run('bad', 150, listBadParts);
		const last = await awaitCrashes(site);
		const settled = performance.now();
		await sleep(4000);
		const ended = performance.now();
		await traffic.stop();
		expect(listArrivals(site, 'bad').filter(at => at > last + underWayMs).length).toBe(0);
		expect(traffic.share('sound', settled, ended)).toBeGreaterThanOrEqual(traffic.share('sound', 0, began) - 0.02);
	});
});

it('two parts that crash engines at the same time reach no engine after their fifth crashes, nor do they at a host that has just started', async () => {
	site = await Site.start({hosts: 4, engines: 12, failureDomains: ['a', 'b']});
	for (const engine of site.engines) {
		site.crashUnder(engine, new Set(['bad', 'worse']), absenceMs, 'same id');
	}

	const traffic = new Traffic(site);
	void traffic.run('sound', 40, index => [sharedParts[index % 3]!]);
	await sleep(1500);
	const began = performance.now();
	void traffic.run('bad', 170, () => ['a0', 'bad']);
	void traffic.run('worse', 230, () => ['worse', 'a1']);
	await sleep(4000);
	const settled = performance.now();
	const restarted = site.hosts[3]!;
	await restarted.kill();
	restarted.start();
	await site.waitUntilReady(restarted);
	await sleep(3000);
	await traffic.stop();
	const crashes = listCrashes(site);
	expect(crashes.length).toBeLessThanOrEqual(2 * permittedCrashes);
	expect([...listArrivals(site, 'bad'), ...listArrivals(site, 'worse')].filter(at => at > crashes.at(-1)! + underWayMs).length).toBe(0);
	expect(traffic.share('sound', settled, performance.now(), 3)).toBeGreaterThanOrEqual(traffic.share('sound', 0, began, 3) - 0.02);
	const learned = restarted.lines.findLastIndex(line => line.event === 'started');
	expect(restarted.lines.slice(learned).filter(line => line.event === 'refused-as-convicted').length).toBeGreaterThan(5);
});

it('engines that crash in a group, without a cause, let no host refuse a request', async () => {
	site = await Site.start({hosts: 3, engines: 9, failureDomains: ['a', 'b', 'c']});
	const traffic = new Traffic(site);
	void traffic.run('sound', 15, index => [sharedParts[index % 3]!, `rare-${index % 40}`]);
	await sleep(1500);
	for (const engine of [0, 3, 6, 1].map(index => site!.engines[index]!)) {
		site.crashUnder(engine, new Set(), 2000);
		engine.onCrash?.();
		void engine.crash();
	}

	await sleep(5000);
	await traffic.stop();
	expect(site.hosts.flatMap(host => host.findLogLines('refused-as-convicted'))).toEqual([]);
	expect(traffic.share('sound', 0, performance.now())).toBeGreaterThanOrEqual(0.98);
});

it('engines that crash one after the other before anything is answered convict nothing but the prompt of one request', async () => {
	site = await Site.start({hosts: 3, engines: 9, failureDomains: ['a', 'b', 'c']});
	const deployment = site;
	for (const engine of deployment.engines) {
		engine.slowness = 100;
	}

	const asked = Array.from({length: 60}, async (_, index) => {
		await sleep(index * 20);
		const headers = {...createPromptHeaders(3000, events), 'X-Prefix-Hash': `own-${index}:3000`};
		return deployment.ask({path: '/ask/x', id: `alike-${index}`, headers}, deployment.hosts[index % 3]);
	});
	for (const engine of [0, 4, 8, 1, 5].map(index => deployment.engines[index]!)) {
		await sleep(250);
		deployment.crashUnder(engine, new Set(), 2000);
		engine.onCrash?.();
		void engine.crash();
	}

	await Promise.all(asked);
	expect(deployment.engines.flatMap(({crashes}) => crashes)).toHaveLength(5);
	const convictions = deployment.hosts.flatMap(host => host.findLogLines('convicted')).map(({causes}) => String(causes));
	expect(convictions.filter(causes => !causes.includes('part:own-'))).toEqual([]);
});
