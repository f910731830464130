/** Upstreams that send nothing for a while, as stopped processes do, and answer again: their share of the requests afterwards. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {createPromptHeaders, type CallerRequest} from '../../bench/gateway/caller-requests.js';
import {Site, type SiteOptions} from '../../bench/gateway/site.js';
import {type UpstreamStandIn} from '../../stand-ins/gateway/upstream.js';

type Kind = 'engine' | 'plain service';

/** Milliseconds between two requests at each host. */
const intervals: Readonly<Record<Kind, number>> = {engine: 100, 'plain service': 50};

const silenceMs = 1100;

/** Time in milliseconds after which a returned upstream has its share. */
const settledMs = 2000;

const measuredMs = 4000;

/** Least part of its usual share that a returned upstream has. */
const minPart = 0.75;

let site: Site | undefined;

afterEach(async () => {
	await site?.[Symbol.asyncDispose]();
	site = undefined;
});

async function startSite(kind: Kind, options: SiteOptions): Promise<Site> {
	site = await Site.start({...options, engines: kind === 'engine' ? 4 : 1, plains: kind === 'plain service' ? 2 : 1});
	const {hosts} = site;
	await expect.poll(() => hosts.every(host => host.findLogLines('peer-linked').length >= hosts.length - 1), {timeout: 20_000}).toBe(true);
	return site;
}

function createRequest(kind: Kind, id: string): CallerRequest {
	switch (kind) {
		case 'engine': {
			return {path: '/ask/x', id, headers: createPromptHeaders(1000, 10)};
		}

		case 'plain service': {
			return {path: '/read/x', id};
		}
	}
}

/** Requests at a constant rate to all hosts, or to some of them. */
class Load implements AsyncDisposable {
	/** Statuses of the answers so far. */
	readonly statuses: number[] = [];
	readonly #site: Site;
	readonly #kind: Kind;
	readonly #timer: NodeJS.Timeout;
	readonly #pending = new Set<Promise<void>>();
	#count = 0;

	constructor(deployment: Site, kind: Kind, hosts: () => readonly number[] = () => Array.from(deployment.hosts, (_, index) => index)) {
		this.#site = deployment;
		this.#kind = kind;
		this.#timer = setInterval(() => {
			for (const host of hosts()) {
				this.#send(host);
			}
		}, intervals[kind]);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#timer);
		await Promise.all(this.#pending);
	}

	#send(host: number): void {
		const id = `host-${host}-${this.#count++}`;
		const pending = (async () => {
			const {status} = await this.#site.ask(createRequest(this.#kind, id), this.#site.hosts[host]);
			this.statuses.push(status);
		})();
		this.#pending.add(pending);
		void pending.finally(() => {
			this.#pending.delete(pending);
		});
	}
}

function listUpstreams(deployment: Site, kind: Kind): readonly UpstreamStandIn[] {
	return kind === 'engine' ? deployment.engines : deployment.plains;
}

/** Waits, and returns the share of the requests of some hosts, all if absent, that arrived at an upstream meanwhile. */
async function measureShare(deployment: Site, kind: Kind, upstream: UpstreamStandIn, {milliseconds = measuredMs, hosts = ['']} = {}): Promise<number> {
	const began = performance.now();
	await sleep(milliseconds);
	const count = (each: UpstreamStandIn) => each.arrivals.filter(({at, request}) => at >= began && request !== 'health' && hosts.some(host => request.startsWith(host))).length;
	const total = listUpstreams(deployment, kind).reduce((sum, each) => sum + count(each), 0);
	return count(upstream) / total;
}

/** Hosts stay with upstreams that they have used: a share above an even one is chance. */
function boundShare(share: number, deployment: Site, kind: Kind): number {
	return Math.min(share, 1 / listUpstreams(deployment, kind).length);
}

/** Returns the upstream with the most requests. */
function findBusiest(deployment: Site, kind: Kind): UpstreamStandIn {
	return listUpstreams(deployment, kind).toSorted((a, b) => b.arrivals.length - a.arrivals.length)[0]!;
}

function findLines(deployment: Site, event: string): ReadonlyArray<Record<string, unknown>> {
	return deployment.hosts.flatMap(host => host.findLogLines(event));
}

describe.each([['engine', 3], ['engine', 6], ['plain service', 3], ['plain service', 6]] as const)('an upstream (%s, %i hosts)', (kind, hosts) => {
	it('that was silent for a second for all hosts has its share two seconds later', async () => {
		const deployment = await startSite(kind, {hosts});
		await using load = new Load(deployment, kind);
		await sleep(1000);
		const upstream = findBusiest(deployment, kind);
		const usual = boundShare(await measureShare(deployment, kind, upstream, {milliseconds: 3000}), deployment, kind);
		upstream.pause(silenceMs);
		await sleep(silenceMs + settledMs);
		expect(await measureShare(deployment, kind, upstream) / usual).toBeGreaterThan(minPart);
		expect(load.statuses.filter(status => status !== 200)).toEqual([]);
	});
});

it('a plain upstream that one host found silent has its share at that host and at others two seconds later', async () => {
	const kind = 'plain service';
	const deployment = await startSite(kind, {hosts: 3, failureDomains: ['a', 'b']});
	let active = [0, 1, 2];
	await using load = new Load(deployment, kind, () => active);
	await sleep(1000);
	// Hosts use the upstream of their own failure domain.
	const upstream = deployment.plains[0]!;
	const measure = async () => Promise.all(['host-0', 'host-2'].map(async host => measureShare(deployment, kind, upstream, {hosts: [host]})));
	const usual = await measure();
	active = [0];
	await sleep(200);
	upstream.pause(silenceMs);
	await sleep(silenceMs);
	active = [0, 1, 2];
	await sleep(settledMs);
	const shares = await measure();
	expect(deployment.hosts[0]!.findLogLines('upstream-doubted')).not.toEqual([]);
	expect(deployment.hosts[2]!.findLogLines('silence-reported')).not.toEqual([]);
	expect(Math.min(...usual)).toBeGreaterThan(0.5);
	expect(Math.min(...shares.map((share, index) => share / usual[index]!))).toBeGreaterThan(minPart);
	expect(load.statuses.filter(status => status !== 200)).toEqual([]);
});

it('a plain upstream that falls silent again and again does not get all its requests back each time', async () => {
	const kind = 'plain service';
	const deployment = await startSite(kind, {hosts: 3});
	const upstream = deployment.plains[0]!;
	await using _ = new Load(deployment, kind);
	await sleep(2000);
	for (let silence = 0; silence < 3; silence++) {
		upstream.pause(silenceMs);
		await sleep(silenceMs + 1500);
	}

	expect(findLines(deployment, 'upstream-doubted').length).toBeGreaterThan(1);
	expect(await measureShare(deployment, kind, upstream, {milliseconds: 2000})).toBeLessThan(minPart / 2);
});

it('an upstream that never answers again stays avoided', async () => {
	const kind = 'plain service';
	const deployment = await startSite(kind, {hosts: 3});
	const upstream = deployment.plains[0]!;
	await using _ = new Load(deployment, kind);
	await sleep(2000);
	upstream.pause(60_000);
	await sleep(4000);
	const before = findLines(deployment, 'placed').filter(line => line.upstream === upstream.id).length;
	const total = findLines(deployment, 'placed').length;
	await sleep(4000);
	const placed = findLines(deployment, 'placed').filter(line => line.upstream === upstream.id).length - before;
	expect(placed / (findLines(deployment, 'placed').length - total)).toBeLessThan(0.05);
});
