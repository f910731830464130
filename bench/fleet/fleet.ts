/** Runs a whole fleet on one machine (stand-ins, fault proxy and entry hosts), for tests, the demo and benchmarks. */
import {
	configurationSchema, type Address, type Configuration,
} from '../../src/core/index.js';
import {PlatformService, settingsSchema as platformSettings} from '../../stand-ins/platform/service.js';
import {type Control as PlatformControl} from '../../stand-ins/platform/control.js';
import {type Fault as ProxyFault} from '../../stand-ins/proxy/faults.js';
import {FaultProxy, settingsSchema as proxySettings} from '../../stand-ins/proxy/service.js';
import {settingsSchema as weightStoreSettings, WeightStoreService} from '../../stand-ins/weights/service.js';
import {buildDocument, listEngines, listPlainServices} from './document.js';
import {HostGroup} from './hosts.js';
import {
	listHosts, fleetShapeSchema, type FleetShape, type FleetShapeInput,
} from './shape.js';
import {Upstreams} from './upstreams.js';

type FleetServices = {
	readonly platform: PlatformService;
	readonly weights: WeightStoreService | undefined;
	readonly proxy: FaultProxy | undefined;
	readonly upstreams: Upstreams;
};

/** Opens a link through the fault proxy to each upstream; returns the addresses of the links by upstream id. */
async function openProxyLinks(
	shape: FleetShape,
	proxy: FaultProxy,
	targets: ReadonlyMap<string, Address>,
): Promise<ReadonlyMap<string, Address>> {
	const addresses = new Map<string, Address>();
	for (const {id, domain} of [...listEngines(shape), ...listPlainServices(shape)]) {
		addresses.set(id, await proxy.openLink({name: id, domain, target: targets.get(id)}));
	}

	return addresses;
}

async function startServices(shape: FleetShape): Promise<FleetServices> {
	const weights = shape.loadsPerSecond === undefined
		? undefined
		: await WeightStoreService.start(weightStoreSettings.parse({loadsPerSecond: shape.loadsPerSecond}));
	return {
		weights,
		platform: await PlatformService.start(platformSettings.parse({hostLag: shape.hostLag})),
		proxy: shape.isProxied ? await FaultProxy.start(proxySettings.parse({})) : undefined,
		upstreams: await Upstreams.start(shape, weights?.addresses.address),
	};
}

export class Fleet implements AsyncDisposable {
	/**
	 * Starts every process and waits until every host is ready.
	 *
	 * @param input - Description of the fleet.
	 */
	static async start(input: FleetShapeInput): Promise<Fleet> {
		const shape = fleetShapeSchema.parse(input);
		const services = await startServices(shape);
		const fleet = new Fleet(shape, services);
		try {
			await fleet.#startHosts();
		} catch (error) {
			await fleet[Symbol.asyncDispose]();
			throw error;
		}

		return fleet;
	}

	readonly shape: FleetShape;
	readonly #services: FleetServices;
	#hosts: HostGroup | undefined;
	#configuration: Configuration | undefined;

	private constructor(shape: FleetShape, services: FleetServices) {
		this.shape = shape;
		this.#services = services;
	}

	get hosts(): HostGroup {
		if (this.#hosts === undefined) {
			throw new TypeError('the fleet has not started');
		}

		return this.#hosts;
	}

	get upstreams(): Upstreams {
		return this.#services.upstreams;
	}

	/** The document that was published last. */
	get configuration(): Configuration {
		if (this.#configuration === undefined) {
			throw new TypeError('no document was published');
		}

		return this.#configuration;
	}

	/** Numbers of calls that the platform received. */
	get platformCalls() {
		return this.#services.platform.counts;
	}

	/** Direct address of the platform, not through the fault proxy. */
	get platformAddress(): Address {
		return this.#services.platform.addresses.address;
	}

	/**
	 * Publishes a changed document under the next revision.
	 *
	 * @param change - Returns the next document for the current one.
	 * @returns The new revision.
	 */
	async publish(change: (before: Configuration) => Configuration): Promise<number> {
		const revision = this.configuration.revision + 1;
		this.#configuration = configurationSchema.parse({...change(this.configuration), revision});
		await this.#publishDocument(this.#configuration);
		return revision;
	}

	/** Applies a control command to the platform stand-in. */
	async controlPlatform(control: PlatformControl): Promise<void> {
		await this.#services.platform.apply(control);
	}

	/**
	 * Switches a network fault on, or all of them off.
	 *
	 * @throws TypeError if the fleet has no fault proxy.
	 */
	applyFault(fault: ProxyFault): void {
		if (this.#services.proxy === undefined) {
			throw new TypeError('the fleet has no fault proxy');
		}

		this.#services.proxy.apply(fault);
	}

	/**
	 * Partitions the network between groups of failure domains; the platform is a domain named `platform`.
	 *
	 * @param groups - Failure domains that can still reach each other.
	 */
	partition(...groups: ReadonlyArray<readonly string[]>): void {
		this.applyFault({type: 'partition', groups});
	}

	/** Ends every network fault. */
	heal(): void {
		this.applyFault({type: 'heal'});
	}

	/** Kills a host's process; the platform's host list follows after its lag. */
	async killHost(id: string): Promise<void> {
		await this.hosts.get(id).child.kill();
		await this.publishHosts();
	}

	/**
	 * Stops a host as in a planned stop and waits until it exits.
	 *
	 * @returns Its exit code; absent if a signal ended it.
	 */
	async stopHost(id: string): Promise<number | undefined> {
		this.hosts.markLeaving(id);
		await this.publishHosts();
		const code = await this.hosts.get(id).child.stop();
		await this.publishHosts();
		return code;
	}

	/** Starts a new process for a host, after killing the old one if it still runs. */
	async replaceHost(id: string): Promise<void> {
		await this.hosts.get(id).child.kill();
		await this.hosts.launch(id);
		await this.publishHosts();
	}

	/** Publishes the hosts that are alive in the platform's host list. */
	async publishHosts(): Promise<void> {
		await this.controlPlatform({type: 'hosts', hosts: this.hosts.platformList});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		const {proxy, platform: platformService, weights, upstreams} = this.#services;
		await this.#hosts?.[Symbol.asyncDispose]();
		await Promise.all([proxy, platformService, weights, upstreams].map(async each => each?.[Symbol.asyncDispose]()));
	}

	async #startHosts(): Promise<void> {
		const {shape} = this;
		const {platform, proxy, upstreams, weights} = this.#services;
		this.#configuration = buildDocument(shape, {
			upstreams: proxy === undefined ? upstreams.addresses : await openProxyLinks(shape, proxy, upstreams.addresses),
			weightStore: weights?.addresses.address,
		}, 1);
		await this.#publishDocument(this.#configuration);
		this.#hosts = await HostGroup.start(shape, platform.addresses.address, proxy);
		await this.publishHosts();
		await this.hosts.waitUntilReady(listHosts(shape).map(host => host.id));
	}

	async #publishDocument(document: Configuration): Promise<void> {
		await this.controlPlatform({type: 'publish', text: JSON.stringify(document), revision: document.revision});
	}
}
