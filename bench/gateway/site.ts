/** A small site of the users' platform with real gateway processes, for tests of the whole path. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {takePort} from '../fleet/ports.js';
import {type Address} from '../../src/core/index.js';
import {Ledger} from '../../stand-ins/gateway/ledger.js';
import {StoreStandIn} from '../../stand-ins/gateway/store.js';
import {UpstreamStandIn} from '../../stand-ins/gateway/upstream.js';
import {call, type Answer, type Asking} from './asking.js';
import {configuration, key, model} from './figures.js';
import {Host} from './host.js';

/** Milliseconds in which a host must be ready; on a busy machine it takes seconds. */
const readyWithin = 30_000;

export type SiteOptions = {
	readonly hosts?: number;
	readonly engines?: number;
	readonly plains?: number;
	/** Settings of hosts that differ from the usual. */
	readonly settings?: Readonly<Record<string, unknown>>;
	/** The host that reads the store at its side address. */
	readonly apart?: number;
	/** Puts something between a process and what it connects to. */
	readonly link?: (name: string, target: Address) => Promise<Address>;
};

export class Site implements AsyncDisposable {
	/**
	 * @param options - What it has.
	 * @returns A site whose hosts are ready.
	 */
	static async start(options: SiteOptions = {}): Promise<Site> {
		const site = new Site(options.link ?? (async (_, target) => target));
		await site.store.listen();
		for (let index = 0; index < (options.engines ?? 2); index++) {
			site.engines.push(new UpstreamStandIn({
				id: `engine-${index}`, service: 'model', failureDomain: 'a', slots: 8, ledger: site.ledger, model,
			}));
		}

		for (let index = 0; index < (options.plains ?? 2); index++) {
			site.plains.push(new UpstreamStandIn({
				id: `plain-${index}`, service: 'plain', failureDomain: 'a', slots: 6, ledger: site.ledger, work: 20,
			}));
		}

		for (const upstream of [...site.engines, ...site.plains]) {
			await upstream.listen();
			site.#addresses.set(upstream.id, upstream.isEngine ? upstream.address : await site.#link(upstream.id, upstream.address));
			site.register(upstream);
		}

		site.store.put('op/config', configuration(1));
		for (let index = 0; index < (options.hosts ?? 1); index++) {
			const address = index === options.apart ? site.store.sideAddress : await site.#link(`store-host-${index}`, site.store.address);
			await site.#addHost(`host-${index}`, {store: textOf(address), ...options.settings});
		}

		await Promise.all(site.hosts.map(async host => site.ready(host)));
		return site;
	}

	readonly store = new StoreStandIn();
	readonly ledger = new Ledger();
	readonly hosts: Host[] = [];
	readonly engines: UpstreamStandIn[] = [];
	readonly plains: UpstreamStandIn[] = [];
	readonly #link: (name: string, target: Address) => Promise<Address>;
	/** Where hosts reach the upstreams. */
	readonly #addresses = new Map<string, Address>();
	readonly #directory = mkdtempSync(path.join(tmpdir(), 'site-'));

	private constructor(link: (name: string, target: Address) => Promise<Address>) {
		this.#link = link;
	}

	/**
	 * @param upstream - Upstream as it stands now.
	 */
	register(upstream: UpstreamStandIn): void {
		this.store.put(`servers/${upstream.id}`, {...upstream.registration, Address: textOf(this.#addresses.get(upstream.id) ?? upstream.address)});
	}

	/**
	 * @param host - Host that must become ready.
	 */
	async ready(host: Host): Promise<void> {
		const end = performance.now() + readyWithin;
		while (performance.now() < end) {
			if (await this.isReady(host)) {
				return;
			}

			await sleep(30);
		}

		throw new Error(`${host.name} is not ready: exit ${host.process.exitCode}, ${JSON.stringify(host.lines.slice(-3))}`);
	}

	/**
	 * @param host - Host.
	 * @returns Whether it takes callers.
	 */
	async isReady(host: Host): Promise<boolean> {
		try {
			const answer = await call(host.ready, {path: '/v1/readyz', id: ''});
			return answer.status === 200;
		} catch {
			return false;
		}
	}

	/**
	 * @param asking - Request of a caller.
	 * @param host - Host that gets it.
	 * @returns The answer.
	 */
	async ask(asking: Asking, host: Host = this.hosts[0]!): Promise<Answer> {
		return call(host.caller, {
			...asking,
			headers: {
				Host: 'api.example', Authorization: `Bearer ${key}`, 'X-Deadline-Ms': '8000', ...asking.headers,
			},
		});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(this.hosts.map(async host => host.kill()));
		for (const upstream of [...this.engines, ...this.plains]) {
			await upstream[Symbol.asyncDispose]();
		}

		await this.store[Symbol.asyncDispose]();
		rmSync(this.#directory, {recursive: true, force: true});
	}

	async #addHost(name: string, settings: Readonly<Record<string, unknown>>): Promise<void> {
		const ports: number[] = [];
		while (ports.length < 4) {
			ports.push(await takePort());
		}

		const file = path.join(this.#directory, `${name}.json`);
		const host = new Host(name, ports, file);
		writeFileSync(file, JSON.stringify({
			host: name,
			failureDomain: 'a',
			caller: textOf(host.caller),
			ready: textOf(host.ready),
			peer: textOf(host.peer),
			metrics: textOf(host.metrics),
			seeds: [this.hosts[0] ?? host].map(each => textOf(each.peer)),
			...settings,
		}));
		this.hosts.push(host);
		host.start();
	}
}

function textOf({host, port}: Address): string {
	return `${host}:${port}`;
}
