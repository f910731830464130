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
import {claimRandomPorts, type Ports} from './ports.js';
import {listHosts, type FleetShape} from './shape.js';

const addressSchema = z.object({host: z.string(), port: z.number()});
const listeningSchema = z.object({
	started: z.number(),
	callerAddress: addressSchema,
	peerAddress: addressSchema,
	adminAddress: addressSchema.optional(),
});

/** An entry host whose process was started. */
export type Host = {
	readonly id: string;
	readonly domain: string;
	readonly started: number;
	readonly child: Child;
	/** Direct addresses for callers and operators, not through the fault proxy. */
	readonly caller: Address;
	readonly admin: Address | undefined;
	/** Addresses that the host advertises to other hosts. */
	readonly advertised: {readonly caller: Address; readonly peer: Address};
	readonly isLeaving: boolean;
};

type PlannedHost = ReturnType<typeof listHosts>[number];
type HostLinks = {readonly caller: Address; readonly peer: Address; readonly platform: Address};

const pollIntervalMs = 20;
const maxStartAttempts = 5;
const loopback = '127.0.0.1';

export class HostGroup implements AsyncDisposable {
	/**
	 * Starts the hosts of a fleet and waits until they listen.
	 *
	 * @param proxy - Fault proxy, if connections go through one.
	 */
	static async start(shape: FleetShape, platform: Address, proxy: FaultProxy | undefined): Promise<HostGroup> {
		const directory = await mkdtemp(path.join(tmpdir(), 'fleet-'));
		const group = new HostGroup(shape, platform, proxy, directory);
		await Promise.all(listHosts(shape).map(async planned => group.launch(planned.id)));
		return group;
	}

	readonly #shape: FleetShape;
	readonly #platform: Address;
	readonly #proxy: FaultProxy | undefined;
	readonly #directory: string;
	readonly #hosts = new Map<string, Host>();
	readonly #links = new Map<string, HostLinks>();

	private constructor(shape: FleetShape, platform: Address, proxy: FaultProxy | undefined, directory: string) {
		this.#shape = shape;
		this.#platform = platform;
		this.#proxy = proxy;
		this.#directory = directory;
	}

	/** The latest process of each host, dead ones included. */
	get all(): readonly Host[] {
		return [...this.#hosts.values()];
	}

	get alive(): readonly Host[] {
		return this.all.filter(host => host.child.isAlive);
	}

	/** The hosts that are alive, in the form of the platform's host list. */
	get platformList(): HostList['hosts'] {
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
	 * Returns a host by its id.
	 *
	 * @throws TypeError if no process was started for it.
	 */
	get(id: string): Host {
		const host = this.#hosts.get(id);
		if (host === undefined) {
			throw new TypeError(`no host ${id}`);
		}

		return host;
	}

	/**
	 * Starts a host's process, for the first time or again after it died.
	 *
	 * @throws TypeError if the fleet has no such host.
	 */
	async launch(id: string): Promise<Host> {
		const planned = listHosts(this.#shape).find(each => each.id === id);
		if (planned === undefined) {
			throw new TypeError(`no host ${id}`);
		}

		const links = await this.#openLinks(planned);
		for (let attempt = 1; ; attempt++) {
			const ports = await claimRandomPorts();
			try {
				const child = await this.#startProcess(planned, links, ports);
				return this.#addHost(planned, child, ports);
			} catch (error) {
				// Another process may have taken a port since it was found to be free.
				if (attempt === maxStartAttempts || !String(error).includes(`"code":${codes.portInUse}`)) {
					throw error;
				}
			}
		}
	}

	/** Marks a host as leaving in the platform's host list. */
	markLeaving(id: string): void {
		this.#hosts.set(id, {...this.get(id), isLeaving: true});
	}

	/**
	 * Waits until hosts are ready for callers.
	 *
	 * @param ids - Hosts; all that are alive if absent.
	 * @throws Error if one of them dies before it is ready.
	 */
	async waitUntilReady(ids: readonly string[] = this.alive.map(host => host.id)): Promise<void> {
		await Promise.all(ids.map(async id => {
			const {caller, child} = this.get(id);
			while (child.isAlive && !await isReady(caller)) {
				await sleep(pollIntervalMs);
			}

			if (!child.isAlive) {
				throw new Error(`${id} died: ${child.errorOutput}`);
			}
		}));
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(this.all.map(async host => host.child[Symbol.asyncDispose]()));
		await rm(this.#directory, {recursive: true, force: true});
	}

	async #startProcess(planned: PlannedHost, links: HostLinks | undefined, ports: Ports): Promise<Child> {
		const file = path.join(this.#directory, `${planned.id}.json`);
		await writeFile(file, JSON.stringify(this.#buildSettings(planned, links, ports)));
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

	#buildSettings({id, domain}: PlannedHost, links: HostLinks | undefined, ports: Ports): unknown {
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

	/** Returns the links of a host. They stay when it is replaced, so that others reach the new process at the old addresses. */
	async #openLinks({id, domain, source}: PlannedHost): Promise<HostLinks | undefined> {
		const proxy = this.#proxy;
		if (proxy === undefined || this.#links.has(id)) {
			return this.#links.get(id);
		}

		proxy.setFailureDomain(source, domain);
		const links: HostLinks = {
			caller: await proxy.openLink({name: `${id}-caller`, domain}),
			peer: await proxy.openLink({name: `${id}-peer`, domain}),
			platform: await proxy.openLink({name: `${id}-platform`, domain: 'platform', target: this.#platform}),
		};
		this.#links.set(id, links);
		return links;
	}

	#addHost({id, domain}: PlannedHost, child: Child, ports: Ports): Host {
		const {started, callerAddress, peerAddress, adminAddress} = listeningSchema.parse(child.readyLine);
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
