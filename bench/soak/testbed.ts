/** Runs the gateway processes and stand-ins of a soak, and injects faults into them. */
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {assertNever} from '../../src/core/index.js';
import {type UpstreamStandIn} from '../../stand-ins/gateway/upstream.js';
import {type Severance} from '../../stand-ins/proxy/severable-link.js';
import {FaultProxy, settingsSchema} from '../../stand-ins/proxy/service.js';
import {createConfiguration, engineConfiguration, routes} from '../gateway/configuration.js';
import {type Host} from '../gateway/host.js';
import {Site} from '../gateway/site.js';
import {createRandom} from '../model/workload.js';
import {coldStartConfiguration} from './cold-engines.js';
import {EvacuationOrders, type StoreGap} from './evacuations.js';
import {ForeignFleet} from './foreign-fleet.js';
import {PausableEngines, pausableRoutes, pausableService} from './pausable-engines.js';
import {type Fault, type LinkFault} from './plan.js';
import {type Outage} from './guarantees.js';
import {PoisonSender} from './poison.js';

/** Number of upstreams of each kind. */
export const engineCount = 3;
export const plainCount = 2;

/** Failure domains over which hosts and upstreams are spread. */
export const failureDomains = ['a', 'b'] as const;

/**
 * Milliseconds between SIGTERM and the end of a process: longer than any request may take that is sent before callers see that the host
 * isn't ready, with the time that the host needs to end.
 */
const stopGraceMs = 12_000;

/** Milliseconds between the signals of a stop. */
const secondSignalDelayMs = 400;

/** Time after the store's return from a backup within which everything is written to it again. */
const rewriteTimeMs = 2000;

/** Memory of each host: so little that answers which are read late exceed the budget for them. */
const hostMemoryMegabytes = 64;

/** Time after which engines cut off a stream of which nothing is read. */
const unreadTimeoutMs = 2000;

/** Time from the crash of an engine under a part of a prompt until it is back. */
const crashAbsenceMs = 1200;

/** Seed of the hosts and pauses of requests that crash engines. */
const poisonSeed = 77;

/** Delay of a slowed link. */
const linkDelayMs = 80;

/** Retry budget of hosts that have none. */
const noRetries = {ratio: 0, window: 10_000, allowance: 0};

/** Pause between two looks whether a host has a configuration. */
const configurationPollMs = 20;

/** Configuration version published before all faults. */
const firstVersion = 2;

/** Configuration version published after all faults; higher than any that a fault publishes. */
const finalVersion = 1000;

function createSoakConfiguration(version: number): unknown {
	return createConfiguration(version, {
		Routes: [...routes, ...pausableRoutes],
		Services: [
			{
				Name: 'model', HealthPath: '/healthz', MaxConnections: 100, Engine: engineConfiguration, ...coldStartConfiguration,
			},
			{Name: 'plain', HealthPath: '/healthz', MaxConnections: 50},
			{Name: 'nowhere', HealthPath: '/healthz', MaxConnections: 50},
			pausableService,
		],
	});
}

async function waitForVersion(host: Host, version: number): Promise<void> {
	while (!host.findLogLines('configuration').some(line => line.version === version)) {
		await sleep(configurationPollMs);
	}
}

export type TestbedOptions = {
	/** Number of gateway processes. */
	readonly hosts: number;
	/** Whether each host has links of its own to the upstreams. */
	readonly hasSeverableLinks: boolean;
	/** Whether hosts may send requests again that have failed. */
	readonly hasRetryBudget: boolean;
};

type TestbedParts = {
	readonly site: Site;
	readonly proxy: FaultProxy;
	readonly links: readonly string[];
	readonly foreignFleet: ForeignFleet;
	readonly pausableEngines: PausableEngines;
};

export class Testbed implements AsyncDisposable {
	/**
	 * @param options - Number of gateway processes, their links and retries.
	 * @returns A testbed whose hosts are ready, each with its own proxied links.
	 */
	static async start({hosts, hasSeverableLinks, hasRetryBudget}: TestbedOptions): Promise<Testbed> {
		const proxy = await FaultProxy.start(settingsSchema.parse({}));
		const links: string[] = [];
		const site = await Site.start({
			hosts, engines: engineCount, plains: plainCount, failureDomains, hasSeverableLinks, settings: {grace: stopGraceMs, memory: hostMemoryMegabytes, ...(!hasRetryBudget && {retries: noRetries})}, async link(name, target) {
				links.push(name);
				return proxy.openLink({name, target, listen: {host: '127.0.0.1', port: 0}});
			},
		});
		for (const engine of site.engines) {
			engine.unreadTimeout = unreadTimeoutMs;
		}

		const testbed = new Testbed({
			site, proxy, links, foreignFleet: await ForeignFleet.start(failureDomains), pausableEngines: await PausableEngines.start(site),
		});
		testbed.#publish(firstVersion);
		await Promise.all(site.hosts.map(async host => waitForVersion(host, firstVersion)));
		return testbed;
	}

	readonly site: Site;
	readonly outages: Outage[] = [];
	readonly history: string[] = [];
	/** When hosts could not read the store, apart from their own outages. */
	readonly storeGaps: StoreGap[] = [];
	readonly evacuations: EvacuationOrders;
	readonly poison: PoisonSender;
	readonly pausableEngines: PausableEngines;
	/** Hosts that get all new connections; the last one counts. */
	readonly #crowded: number[] = [];
	/** Number of log lines that each host had written when each of its runs began. */
	readonly #runStarts: number[][];
	readonly #proxy: FaultProxy;
	readonly #foreignFleet: ForeignFleet;
	readonly #links: readonly string[];
	readonly #activeFaults: Array<Promise<void>> = [];
	readonly #isDown: boolean[];
	readonly #unregistered = new Set<UpstreamStandIn>();
	#version = 1;
	#storeFault: Extract<Fault, {readonly type: 'store'}>['mode'] | undefined;
	/** Restores during which the store is away. */
	#runningRestores = 0;
	/** Hosts whose links are severed. */
	readonly #severed = new Set<number>();

	private constructor({site, proxy, links, foreignFleet, pausableEngines}: TestbedParts) {
		this.site = site;
		this.pausableEngines = pausableEngines;
		this.poison = new PoisonSender(site, createRandom(poisonSeed));
		for (const engine of site.engines) {
			engine.onCrash = () => {
				this.history.push(`${Math.round(performance.now())} ms ${engine.id} crashed under a part of a prompt`);
				this.#activeFaults.push(this.#bringBack(engine, crashAbsenceMs));
			};
		}

		this.evacuations = new EvacuationOrders(site.store);
		this.#proxy = proxy;
		this.#foreignFleet = foreignFleet;
		this.#links = links;
		this.#runStarts = site.hosts.map(() => [0]);
		this.#isDown = site.hosts.map(() => false);
	}

	/** Host that gets all new connections at present, if there is one. */
	get crowdedHost(): number | undefined {
		return this.#crowded.at(-1);
	}

	get links(): number {
		return this.#links.length;
	}

	/** Starts a fault, which ends by itself. */
	inject(fault: Fault): void {
		this.history.push(`${Math.round(performance.now())} ms ${JSON.stringify(fault)}`);
		this.#activeFaults.push(this.#execute(fault));
	}

	/** Waits until every fault is over, heals all links and publishes the final configuration. */
	async settle(): Promise<void> {
		let waited = 0;
		while (waited < this.#activeFaults.length) {
			waited = this.#activeFaults.length;
			await Promise.all(this.#activeFaults);
		}

		this.#proxy.apply({type: 'heal'});
		this.#publish(finalVersion);
	}

	/** Returns the configuration versions that each run of a host applied, in order. */
	appliedVersions(): ReadonlyArray<readonly number[]> {
		return this.site.hosts.flatMap((host, index) => this.#runStarts[index]!.map((from, run) => {
			const lines = host.lines.slice(from, this.#runStarts[index]![run + 1]);
			return lines.filter(line => line.event === 'configuration').map(line => Number(line.version));
		}));
	}

	hasFinalVersion(host: Host): boolean {
		return host.findLogLines('configuration').at(-1)?.version === finalVersion;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.site[Symbol.asyncDispose]();
		await this.pausableEngines[Symbol.asyncDispose]();
		await this.#foreignFleet[Symbol.asyncDispose]();
		await this.#proxy[Symbol.asyncDispose]();
	}

	/** Engines first, then plain services. */
	get #upstreams(): readonly UpstreamStandIn[] {
		return [...this.site.engines, ...this.site.plains];
	}

	async #execute(fault: Fault): Promise<void> {
		switch (fault.type) {
			case 'kill': {
				await this.#kill(fault.host, fault.down);
				return;
			}

			case 'pause': {
				await this.#pause(fault.host, fault.length);
				return;
			}

			case 'stop': {
				await this.#stop(fault.host);
				return;
			}

			case 'reload': {
				this.#reload(fault.host);
				return;
			}

			case 'foreign-seed': {
				this.#foreignFleet.addTo(this.site.hosts[fault.host]!);
				this.#reload(fault.host);
				return;
			}

			case 'foreign-address': {
				await this.#passAddress(fault.host, fault.length);
				return;
			}

			case 'store': {
				this.#storeFault = fault.mode;
				this.#updateStoreMode();
				await this.#recordStoreGap(undefined, fault.length);
				this.#storeFault = undefined;
				this.#updateStoreMode();
				return;
			}

			case 'compact': {
				this.site.store.compact();
				return;
			}

			case 'restore': {
				await this.#restoreStore(fault.length, fault.outage);
				return;
			}

			case 'publish': {
				this.#publish(this.#version + 1);
				return;
			}

			case 'upstream': {
				const upstream = this.#upstreams[fault.upstream]!;
				upstream.fault = fault.fault;
				await sleep(fault.length);
				upstream.fault = 'none';
				return;
			}

			case 'leave': {
				const upstream = this.#upstreams[fault.upstream]!;
				this.#unregistered.add(upstream);
				this.site.store.remove(`servers/${upstream.id}`);
				await sleep(fault.length);
				this.#unregistered.delete(upstream);
				this.site.register(upstream);
				return;
			}

			case 'limit': {
				await this.#state(fault.upstreams, fault.length, upstream => {
					upstream.rateLimit = fault.rate;
				}, upstream => {
					upstream.rateLimit = undefined;
				});
				return;
			}

			case 'depart': {
				await this.#state(fault.upstreams, fault.length, upstream => {
					upstream.isStatingLeave = true;
				}, upstream => {
					this.#restartUpstream(upstream);
				});
				return;
			}

			case 'refuse': {
				await this.#state(fault.upstreams, fault.length, upstream => {
					upstream.fault = 'shed';
					upstream.retryAfter = fault.retryAfter;
				}, upstream => {
					upstream.fault = 'none';
					upstream.retryAfter = undefined;
				});
				return;
			}

			case 'cold': {
				const upstream = this.#upstreams[fault.upstream]!;
				upstream.chill(fault.length);
				this.#registerUnlessRemoved(upstream);
				await sleep(fault.length);
				this.#registerUnlessRemoved(upstream);
				return;
			}

			case 'evacuate': {
				const domain = failureDomains[fault.domain]!;
				this.evacuations.begin(domain);
				await sleep(fault.length);
				this.evacuations.end(domain);
				return;
			}

			case 'poison': {
				await this.poison.run(fault.length);
				return;
			}

			case 'crash': {
				await Promise.all(fault.upstreams.map(async index => this.#crash(this.#upstreams[index]!, fault.length)));
				return;
			}

			case 'pause-engines': {
				await this.pausableEngines.pause(fault.engines, fault.length);
				return;
			}

			case 'crowd': {
				this.#crowded.push(fault.host);
				await sleep(fault.length);
				this.#crowded.splice(this.#crowded.indexOf(fault.host), 1);
				return;
			}

			case 'sever': {
				const upstreams = fault.upstreams.map(index => this.#upstreams[index]!.id);
				await Promise.all(fault.hosts.map(async host => this.#sever(host, fault.how, upstreams, fault.length)));
				return;
			}

			case 'link': {
				await this.#disturbLink(this.#links[fault.link]!, fault.how, fault.length);
				return;
			}

			default: {
				assertNever(fault);
			}
		}
	}

	async #disturbLink(link: string, how: LinkFault, length: number): Promise<void> {
		const where = {link};
		this.#proxy.apply(how === 'delay' ? {type: how, where, delay: linkDelayMs} : {type: how, where});
		await this.#recordStoreGap(this.site.hosts.findIndex(host => link === `store-${host.name}`), length);
		this.#proxy.apply({type: 'heal'});
	}

	/** Lets upstreams state something about themselves for a while. */
	async #state(upstreams: readonly number[], length: number, begin: (upstream: UpstreamStandIn) => void, end: (upstream: UpstreamStandIn) => void): Promise<void> {
		for (const index of upstreams) {
			begin(this.#upstreams[index]!);
		}

		await sleep(length);
		for (const index of upstreams) {
			end(this.#upstreams[index]!);
		}
	}

	/** Crashes an engine, which is back later with its id; does nothing if it is down already. */
	async #crash(upstream: UpstreamStandIn, length: number): Promise<void> {
		if (upstream.isListening) {
			await upstream.crash();
			await this.#bringBack(upstream, length);
		}
	}

	async #bringBack(upstream: UpstreamStandIn, absence: number): Promise<void> {
		await sleep(absence);
		await upstream.comeBack('same id');
		this.#registerUnlessRemoved(upstream);
	}

	/** Severs links of a host for a while; does nothing if some are severed already. */
	async #sever(host: number, how: Severance, upstreams: readonly string[], length: number): Promise<void> {
		if (this.#severed.has(host)) {
			return;
		}

		this.#severed.add(host);
		await this.site.sever(host, how, upstreams);
		await sleep(length);
		await this.site.restore(host);
		this.#severed.delete(host);
	}

	#restartUpstream(upstream: UpstreamStandIn): void {
		upstream.restart();
		this.#registerUnlessRemoved(upstream);
	}

	#registerUnlessRemoved(upstream: UpstreamStandIn): void {
		if (!this.#unregistered.has(upstream)) {
			this.site.register(upstream);
		}
	}

	async #restoreStore(backupAge: number, outage: number): Promise<void> {
		const {store} = this.site;
		const backup = store.backUp();
		await sleep(backupAge);
		this.#runningRestores++;
		this.#updateStoreMode();
		await this.#recordStoreGap(undefined, outage);
		store.restore(backup);
		this.evacuations.recordLoss();
		this.#runningRestores--;
		this.#updateStoreMode();
		await Promise.all([
			this.#rewriteConfiguration(),
			...failureDomains.map(async domain => this.#rewriteEvacuation(domain)),
			...this.#upstreams.map(async upstream => this.#rewriteRegistration(upstream)),
		]);
	}

	/** Waits while a host, or all of them, can't read the store. */
	async #recordStoreGap(host: number | undefined, length: number): Promise<void> {
		const from = performance.now();
		await sleep(length);
		this.storeGaps.push({host, from, to: performance.now()});
	}

	#updateStoreMode(): void {
		this.site.store.mode = this.#runningRestores > 0 ? 'reset' : this.#storeFault ?? 'serving';
	}

	async #rewriteConfiguration(): Promise<void> {
		await sleep(Math.random() * rewriteTimeMs);
		this.#publish(this.#version);
	}

	async #rewriteEvacuation(domain: string): Promise<void> {
		await sleep(Math.random() * rewriteTimeMs);
		this.evacuations.write(domain);
	}

	async #rewriteRegistration(upstream: UpstreamStandIn): Promise<void> {
		await sleep(Math.random() * rewriteTimeMs);
		if (this.#unregistered.has(upstream)) {
			this.site.store.remove(`servers/${upstream.id}`);
		} else {
			this.site.register(upstream);
		}
	}

	#publish(version: number): void {
		this.#version = version;
		this.site.store.put('op/config', createSoakConfiguration(version));
	}

	/** Runs a fault that takes a process down and records the outage; does nothing if the process is already down. */
	async #recordOutage(host: number, type: Outage['type'], run: (process: Host) => Promise<void>): Promise<void> {
		if (this.#isDown[host]!) {
			return;
		}

		this.#isDown[host] = true;
		const from = performance.now();
		await run(this.site.hosts[host]!);
		this.outages.push({
			host, from, to: performance.now(), type,
		});
		this.history.push(`${Math.round(from)} to ${Math.round(performance.now())} ms host ${host} ${type}`);
		this.#isDown[host] = false;
	}

	async #kill(host: number, down: number): Promise<void> {
		await this.#recordOutage(host, 'killed', async process => {
			await process.kill();
			await sleep(down);
			await this.#restart(host, process);
		});
	}

	async #passAddress(host: number, length: number): Promise<void> {
		await this.#recordOutage(host, 'killed', async process => {
			await process.kill();
			await this.#foreignFleet.occupy(process.peer, length);
			await this.#restart(host, process);
		});
	}

	#reload(host: number): void {
		if (!this.#isDown[host]!) {
			this.site.hosts[host]!.process.kill('SIGHUP');
		}
	}

	async #pause(host: number, length: number): Promise<void> {
		await this.#recordOutage(host, 'paused', async ({process}) => {
			process.kill('SIGSTOP');
			await sleep(length);
			process.kill('SIGCONT');
		});
	}

	async #stop(host: number): Promise<void> {
		await this.#recordOutage(host, 'stopping', async process => {
			const ended = once(process.process, 'exit');
			process.process.kill('SIGTERM');
			const again = setTimeout(() => {
				process.process.kill('SIGTERM');
			}, secondSignalDelayMs);
			await ended;
			clearTimeout(again);
			await this.#restart(host, process);
		});
	}

	async #restart(host: number, process: Host): Promise<void> {
		this.#runStarts[host]!.push(process.lines.length);
		process.start();
		await this.site.waitUntilReady(process);
	}
}
