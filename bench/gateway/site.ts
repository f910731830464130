/** A small deployment for end-to-end tests: store and upstream stand-ins in this process, and real gateway processes. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {claimWorkerPort} from '../fleet/ports.js';
import {type Address} from '../../src/core/index.js';
import {Ledger} from '../../stand-ins/gateway/ledger.js';
import {StoreStandIn} from '../../stand-ins/gateway/store.js';
import {UpstreamStandIn, type Return} from '../../stand-ins/gateway/upstream.js';
import {SeverableLink, type Severance} from '../../stand-ins/proxy/severable-link.js';
import {sendRequest, type Answer, type CallerRequest} from './caller-requests.js';
import {createConfiguration, apiKey, engineModel} from './configuration.js';
import {Host} from './host.js';

/** Time within which a host must be ready; on a busy machine it takes seconds. */
const readyTimeoutMs = 30_000;

/** Shared by hosts that see upstreams at different addresses. */
const fleetKey = 'key of the hosts of one site';

export type SiteOptions = {
	readonly hosts?: number;
	readonly engines?: number;
	readonly plains?: number;
	/** Failure domains over which hosts, engines and plain services are spread in turn. */
	readonly failureDomains?: readonly string[];
	/** Host settings that replace the defaults. */
	readonly settings?: Readonly<Record<string, unknown>>;
	/** Options of Node.js for the processes of the hosts. */
	readonly nodeOptions?: readonly string[];
	/** Peer addresses that every host gets as seeds after the first host of the site. */
	readonly extraSeeds?: readonly Address[];
	/** Index of the host that uses the secondary address of the store. */
	readonly secondaryStoreHost?: number;
	/** Whether each host has links of its own to the upstreams, which `sever` severs. Hosts see different addresses, and know each other by a key. */
	readonly hasSeverableLinks?: boolean;
	/** Wraps a target address, for example in a proxy link, and returns the address to connect to. */
	readonly link?: (name: string, target: Address) => Promise<Address>;
};

export class Site implements AsyncDisposable {
	/** Starts a site and waits until all its hosts are ready. */
	static async start(options: SiteOptions = {}): Promise<Site> {
		const site = new Site(options.link ?? (async (_, target) => target), options.nodeOptions ?? []);
		const domains = options.failureDomains ?? ['a'];
		const domainOf = (index: number) => domains[index % domains.length]!;
		await site.store.listen();
		for (let index = 0; index < (options.engines ?? 2); index++) {
			site.engines.push(new UpstreamStandIn({
				id: `engine-${index}`, service: 'model', failureDomain: domainOf(index), slots: 8, ledger: site.ledger, model: engineModel, port: await claimWorkerPort(),
			}));
		}

		for (let index = 0; index < (options.plains ?? 2); index++) {
			site.plains.push(new UpstreamStandIn({
				id: `plain-${index}`, service: 'plain', failureDomain: domainOf(index), slots: 6, ledger: site.ledger, answerDelay: 20, port: await claimWorkerPort(),
			}));
		}

		for (const upstream of [...site.engines, ...site.plains]) {
			await upstream.listen();
			site.#upstreamAddresses.set(upstream.id, upstream.isEngine ? upstream.address : await site.#link(upstream.id, upstream.address));
			site.register(upstream);
		}

		site.store.put('op/config', createConfiguration(1));
		for (let index = 0; index < (options.hosts ?? 1); index++) {
			const name = `host-${index}`;
			const seen = options.hasSeverableLinks === true ? await site.#openSeverableLinks(name) : site.store.address;
			const store = index === options.secondaryStoreHost ? site.store.secondaryAddress : await site.#link(`store-${name}`, seen);
			const fleet = options.hasSeverableLinks === true ? {fleet: {keys: [fleetKey]}} : {};
			await site.#addHost(name, options.extraSeeds ?? [], {
				failureDomain: domainOf(index), store: formatAddress(store), ...fleet, ...options.settings,
			});
		}

		await Promise.all(site.hosts.map(async host => site.waitUntilReady(host)));
		return site;
	}

	readonly store = new StoreStandIn();
	readonly ledger = new Ledger();
	readonly hosts: Host[] = [];
	readonly engines: UpstreamStandIn[] = [];
	readonly plains: UpstreamStandIn[] = [];
	readonly #link: (name: string, target: Address) => Promise<Address>;
	readonly #nodeOptions: readonly string[];
	/** Addresses at which hosts reach the upstreams, by upstream id. */
	readonly #upstreamAddresses = new Map<string, Address>();
	/** Links to the upstreams, by host and upstream. */
	readonly #severableLinks = new Map<string, Map<string, SeverableLink>>();
	#isDisposed = false;
	readonly #directory = mkdtempSync(path.join(tmpdir(), 'site-'));

	private constructor(link: (name: string, target: Address) => Promise<Address>, nodeOptions: readonly string[]) {
		this.#link = link;
		this.#nodeOptions = nodeOptions;
	}

	/**
	 * Severs links between a host and upstreams.
	 *
	 * @param host - Index of the host.
	 * @param severance - What becomes of its connections.
	 * @param upstreams - Ids of the upstreams; all if absent.
	 */
	async sever(host: number, severance: Severance, upstreams?: readonly string[]): Promise<void> {
		const links = [...this.#severableLinks.get(`host-${host}`) ?? []].filter(([upstream]) => upstreams?.includes(upstream) ?? true);
		await Promise.all(links.map(async ([, link]) => link.sever(severance)));
	}

	/** Restores all links of a host. */
	async restore(host: number): Promise<void> {
		await Promise.all([...this.#severableLinks.get(`host-${host}`)?.values() ?? []].map(async link => link.restore()));
	}

	/** Writes the current registration of an upstream to the store. */
	register(upstream: UpstreamStandIn): void {
		this.store.put(`servers/${upstream.id}`, {...upstream.createRegistration(), Address: formatAddress(this.#upstreamAddresses.get(upstream.id) ?? upstream.address)});
	}

	/**
	 * Lets an upstream crash under parts of prompts, and come back after some time. Its registration expires meanwhile.
	 *
	 * @param upstream - Upstream.
	 * @param parts - Parts of prompts that crash it.
	 * @param absence - Milliseconds from the crash until it is back.
	 * @param as - Id of the process that comes back.
	 */
	crashUnder(upstream: UpstreamStandIn, parts: ReadonlySet<string>, absence: number, as: Return = 'new id'): void {
		upstream.crashingParts = parts;
		upstream.onCrash = () => {
			void this.#bringBack(upstream, absence, as);
		};
	}

	/** Waits until a host is ready; throws if it takes too long. */
	async waitUntilReady(host: Host): Promise<void> {
		const end = performance.now() + readyTimeoutMs;
		while (performance.now() < end) {
			if (await this.isReady(host)) {
				return;
			}

			await sleep(30);
		}

		throw new Error(`${host.name} is not ready: exit ${host.process.exitCode}, ${JSON.stringify(host.lines.slice(-3))}`);
	}

	/** Returns whether a host reports that it accepts callers. */
	async isReady(host: Host): Promise<boolean> {
		try {
			const answer = await sendRequest(host.ready, {path: '/v1/readyz', id: ''});
			return answer.status === 200;
		} catch {
			return false;
		}
	}

	/** Sends a caller's request to a host, with default headers where the request has none. */
	async ask(callerRequest: CallerRequest, host: Host = this.hosts[0]!): Promise<Answer> {
		return sendRequest(host.caller, {
			...callerRequest,
			headers: {
				Host: 'api.example', Authorization: `Bearer ${apiKey}`, 'X-Deadline-Ms': '8000', ...callerRequest.headers,
			},
		});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isDisposed = true;
		await Promise.all(this.hosts.map(async host => host.kill()));
		await Promise.all([...this.#severableLinks.values()].flatMap(links => [...links.values()].map(async link => link[Symbol.asyncDispose]())));
		for (const upstream of [...this.engines, ...this.plains]) {
			await upstream[Symbol.asyncDispose]();
		}

		await this.store[Symbol.asyncDispose]();
		rmSync(this.#directory, {recursive: true, force: true});
	}

	async #bringBack(upstream: UpstreamStandIn, absence: number, as: Return): Promise<void> {
		const former = upstream.id;
		await sleep(absence / 2);
		if (as === 'new id') {
			this.store.remove(`servers/${former}`);
		}

		await sleep(absence / 2);
		if (!this.#isDisposed) {
			await upstream.comeBack(as);
			this.register(upstream);
		}
	}

	/** Opens links from a host to all upstreams, and returns the address of a store that shows their addresses. */
	async #openSeverableLinks(host: string): Promise<Address> {
		const links = new Map<string, SeverableLink>();
		for (const upstream of [...this.engines, ...this.plains]) {
			links.set(upstream.id, await SeverableLink.open(this.#upstreamAddresses.get(upstream.id) ?? upstream.address, await claimWorkerPort()));
		}

		this.#severableLinks.set(host, links);
		return this.store.listenAs((key, value) => {
			const link = links.get(key.replace('servers/', ''));
			return link === undefined ? value : {...z.looseObject({}).parse(value), Address: formatAddress(link.address)};
		});
	}

	async #addHost(name: string, extraSeeds: readonly Address[], settings: Readonly<Record<string, unknown>>): Promise<void> {
		const ports: number[] = [];
		while (ports.length < 6) {
			ports.push(await claimWorkerPort());
		}

		const file = path.join(this.#directory, `${name}.json`);
		const host = new Host(name, ports, file, this.#nodeOptions);
		writeFileSync(file, JSON.stringify({
			host: name,
			caller: formatAddress(host.caller),
			ready: formatAddress(host.ready),
			peer: formatAddress(host.peer),
			metrics: formatAddress(host.metrics),
			tunnel: formatAddress(host.tunnel),
			admin: formatAddress(host.admin),
			seeds: [(this.hosts[0] ?? host).peer, ...extraSeeds].map(seed => formatAddress(seed)),
			...settings,
		}));
		this.hosts.push(host);
		host.start();
	}
}

function formatAddress({host, port}: Address): string {
	return `${host}:${port}`;
}
