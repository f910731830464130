/** The entry hosts of a fleet: one process each, which can be killed, paused, stopped and replaced. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import got from 'got';
import {z} from 'zod';
import {codes, type Address} from '../../src/core/index.js';
import {type Hosts as HostList} from '../../src/configuration-service/protocol.js';
import {type FaultProxy} from '../../stand-ins/proxy/service.js';
import {Child} from './child.js';
import {freePorts, type Ports} from './ports.js';
import {hostsOf, type Shape} from './shape.js';

const addressSchema = z.object({host: z.string(), port: z.number()});
const listeningSchema = z.object({
	started: z.number(),
	callerAddress: addressSchema,
	peerAddress: addressSchema,
	adminAddress: addressSchema.optional(),
});

/** An entry host that runs. */
export type Host = {
	readonly id: string;
	readonly domain: string;
	readonly started: number;
	readonly child: Child;
	/** Where callers and operators reach it, past any proxy. */
	readonly caller: Address;
	readonly admin: Address | undefined;
	/** What other hosts are told. */
	readonly advertised: {readonly caller: Address; readonly peer: Address};
	readonly isLeaving: boolean;
};

type Planned = ReturnType<typeof hostsOf>[number];
type Links = {readonly caller: Address; readonly peer: Address; readonly platform: Address};

const pollInterval = 20;
const startTries = 5;
const loopback = '127.0.0.1';

export class HostGroup implements AsyncDisposable {
	/**
	 * @param shape - Fleet.
	 * @param platform - Where the platform listens.
	 * @param proxy - Fault proxy, if links lead through one.
	 * @returns Its hosts, listening.
	 */
	static async start(shape: Shape, platform: Address, proxy: FaultProxy | undefined): Promise<HostGroup> {
		const directory = await mkdtemp(path.join(tmpdir(), 'fleet-'));
		const group = new HostGroup(shape, platform, proxy, directory);
		await Promise.all(hostsOf(shape).map(async planned => group.launch(planned.id)));
		return group;
	}

	readonly #shape: Shape;
	readonly #platform: Address;
	readonly #proxy: FaultProxy | undefined;
	readonly #directory: string;
	readonly #hosts = new Map<string, Host>();
	readonly #links = new Map<string, Links>();

	private constructor(shape: Shape, platform: Address, proxy: FaultProxy | undefined, directory: string) {
		this.#shape = shape;
		this.#platform = platform;
		this.#proxy = proxy;
		this.#directory = directory;
	}

	/** Hosts whose process was started and not replaced, also dead ones. */
	get all(): readonly Host[] {
		return [...this.#hosts.values()];
	}

	get alive(): readonly Host[] {
		return this.all.filter(host => host.child.isAlive);
	}

	/** The list that the platform publishes. */
	get list(): HostList['hosts'] {
		return this.alive.map(({id, domain, started, advertised, isLeaving}) => ({
			id,
			failureDomain: domain,
			started,
			peerAddress: advertised.peer,
			callerAddress: advertised.caller,
			leaving: isLeaving,
		}));
	}

	/**
	 * @param id - Host.
	 * @returns The host.
	 */
	get(id: string): Host {
		const host = this.#hosts.get(id);
		if (host === undefined) {
			throw new TypeError(`no host ${id}`);
		}

		return host;
	}

	/**
	 * Starts a host's process, also again after it died.
	 *
	 * @param id - Host.
	 * @returns The host.
	 */
	async launch(id: string): Promise<Host> {
		const planned = hostsOf(this.#shape).find(each => each.id === id);
		if (planned === undefined) {
			throw new TypeError(`no host ${id}`);
		}

		const links = await this.#linksOf(planned);
		for (let tries = 1; ; tries++) {
			const ports = await freePorts();
			try {
				const child = await this.#startProcess(planned, links, ports);
				return this.#note(planned, child, ports);
			} catch (error) {
				// Another process may have taken a port since it was found free.
				if (tries === startTries || !String(error).includes(`"code":${codes.portInUse}`)) {
					throw error;
				}
			}
		}
	}

	/** Marks a host as leaving in the platform's list. */
	markLeaving(id: string): void {
		this.#hosts.set(id, {...this.get(id), isLeaving: true});
	}

	/**
	 * Waits until hosts are ready for callers.
	 *
	 * @param ids - Hosts; all that are alive if absent.
	 */
	async ready(ids: readonly string[] = this.alive.map(host => host.id)): Promise<void> {
		await Promise.all(ids.map(async id => {
			const {caller, child} = this.get(id);
			while (child.isAlive && !await isReady(caller)) {
				await sleep(pollInterval);
			}

			if (!child.isAlive) {
				throw new Error(`${id} died: ${child.errors}`);
			}
		}));
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(this.all.map(async host => host.child[Symbol.asyncDispose]()));
		await rm(this.#directory, {recursive: true, force: true});
	}

	async #startProcess(planned: Planned, links: Links | undefined, ports: Ports): Promise<Child> {
		const file = path.join(this.#directory, `${planned.id}.json`);
		await writeFile(file, JSON.stringify(this.#settingsOf(planned, links, ports)));
		return Child.start({
			name: planned.id,
			program: 'src/entry/main.js',
			settings: file,
			readyEvent: 'listening',
			keepsLog: this.#shape.keepsLogs,
			...(this.#proxy !== undefined && {
				preload: 'bench/fleet/bind-address.js', environment: {FLEET_SOURCE_ADDRESS: planned.source},
			}),
		});
	}

	#settingsOf({id, domain}: Planned, links: Links | undefined, ports: Ports): unknown {
		return {
			statedPromptTokens: true,
			drainGrace: 4000,
			...this.#shape.entry,
			host: id,
			failureDomain: domain,
			caller: {host: loopback, port: ports.caller},
			peer: {host: loopback, port: ports.peer},
			platform: links?.platform ?? this.#platform,
			...(links !== undefined && {advertised: {caller: links.caller, peer: links.peer}}),
		};
	}

	/** Links stay when a host is replaced, so that others reach the new process where the old one was. */
	async #linksOf({id, domain, source}: Planned): Promise<Links | undefined> {
		const proxy = this.#proxy;
		if (proxy === undefined || this.#links.has(id)) {
			return this.#links.get(id);
		}

		proxy.place(source, domain);
		const links: Links = {
			caller: await proxy.open({name: `${id}-caller`, domain}),
			peer: await proxy.open({name: `${id}-peer`, domain}),
			platform: await proxy.open({name: `${id}-platform`, domain: 'platform', target: this.#platform}),
		};
		this.#links.set(id, links);
		return links;
	}

	#note({id, domain}: Planned, child: Child, ports: Ports): Host {
		const {started, callerAddress, peerAddress, adminAddress} = listeningSchema.parse(child.ready);
		const caller = {host: loopback, port: ports.caller};
		this.#proxy?.retarget(`${id}-caller`, caller);
		this.#proxy?.retarget(`${id}-peer`, {host: loopback, port: ports.peer});
		const host: Host = {
			id, domain, started, child, caller, admin: adminAddress, advertised: {caller: callerAddress, peer: peerAddress}, isLeaving: false,
		};
		this.#hosts.set(id, host);
		return host;
	}
}

async function isReady({host, port}: Address): Promise<boolean> {
	try {
		const {statusCode} = await got(`http://${host}:${port}/health/ready`, {throwHttpErrors: false, retry: {limit: 0}});
		return statusCode === 200;
	} catch {
		return false;
	}
}
