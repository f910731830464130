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

type Sent = {readonly id: string; readonly at: number; readonly isServed: boolean};

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

	/** Returns the share of the requests sent in a span that were answered completely. */
	share(name: string, from: number, to: number): number {
		const counted = this.sent.filter(each => each.id.startsWith(`${name}-`) && each.at >= from && each.at < to);
		expect(counted.length).toBeGreaterThan(20);
		return counted.filter(each => each.isServed).length / counted.length;
	}

	async #send(id: string, parts: readonly string[], index: number): Promise<void> {
		const at = performance.now();
		const headers = {...createPromptHeaders(3000, events), 'X-Prefix-Hash': [...parts, `own-${id}`].map(part => `${part}:500`).join(',')};
		try {
			const answer = await this.#site.ask({
				path: '/ask/x', id, body: id, headers,
			}, this.#site.hosts[index % this.#site.hosts.length]);
			this.sent.push({id, at, isServed: answer.status === 200 && answer.isWhole && parseEventIds(answer).length === events});
		} catch {
			this.sent.push({id, at, isServed: false});
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
