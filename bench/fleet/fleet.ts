/** A whole fleet on one machine: stand-ins, fault proxy and entry hosts, for tests, the demo and benchmarks. */
import {
	configurationSchema, type Address, type Configuration,
} from '../../src/core/index.js';
import {PlatformService, settingsSchema as platformSettings} from '../../stand-ins/platform/service.js';
import {type Control as PlatformControl} from '../../stand-ins/platform/control.js';
import {type Fault as ProxyFault} from '../../stand-ins/proxy/faults.js';
import {FaultProxy, settingsSchema as proxySettings} from '../../stand-ins/proxy/service.js';
import {settingsSchema as weightSettings, WeightStoreService} from '../../stand-ins/weights/service.js';
import {documentOf, enginesOf, plainsOf} from './document.js';
import {HostGroup} from './hosts.js';
import {
	hostsOf, shapeSchema, type Shape, type ShapeInput,
} from './shape.js';
import {Upstreams} from './upstreams.js';

type Parts = {
	readonly platform: PlatformService;
	readonly weights: WeightStoreService | undefined;
	readonly proxy: FaultProxy | undefined;
	readonly upstreams: Upstreams;
};

/** Opens one proxied link for each upstream. */
async function proxied(shape: Shape, proxy: FaultProxy, real: ReadonlyMap<string, Address>): Promise<ReadonlyMap<string, Address>> {
	const addresses = new Map<string, Address>();
	for (const {id, domain} of [...enginesOf(shape), ...plainsOf(shape)]) {
		addresses.set(id, await proxy.open({name: id, domain, target: real.get(id)}));
	}

	return addresses;
}

async function startParts(shape: Shape): Promise<Parts> {
	const weights = shape.loadsPerSecond === undefined
		? undefined
		: await WeightStoreService.start(weightSettings.parse({loadsPerSecond: shape.loadsPerSecond}));
	return {
		weights,
		platform: await PlatformService.start(platformSettings.parse({hostLag: shape.hostLag})),
		proxy: shape.isProxied ? await FaultProxy.start(proxySettings.parse({})) : undefined,
		upstreams: await Upstreams.start(shape, weights?.addresses.address),
	};
}

export class Fleet implements AsyncDisposable {
	/**
	 * Starts everything and waits until every host is ready.
	 *
	 * @param input - Description of the fleet.
	 * @returns The fleet.
	 */
	static async start(input: ShapeInput): Promise<Fleet> {
		const shape = shapeSchema.parse(input);
		const parts = await startParts(shape);
		const fleet = new Fleet(shape, parts);
		try {
			await fleet.#startHosts();
		} catch (error) {
			await fleet[Symbol.asyncDispose]();
			throw error;
		}

		return fleet;
	}

	readonly shape: Shape;
	readonly #parts: Parts;
	#hosts: HostGroup | undefined;
	#configuration: Configuration | undefined;

	private constructor(shape: Shape, parts: Parts) {
		this.shape = shape;
		this.#parts = parts;
	}

	get hosts(): HostGroup {
		if (this.#hosts === undefined) {
			throw new TypeError('the fleet has not started');
		}

		return this.#hosts;
	}

	get upstreams(): Upstreams {
		return this.#parts.upstreams;
	}

	/** The document published last. */
	get configuration(): Configuration {
		if (this.#configuration === undefined) {
			throw new TypeError('nothing was published');
		}

		return this.#configuration;
	}

	/** Calls that the platform counted. */
	get platformCalls() {
		return this.#parts.platform.counts;
	}

	/** The platform itself, past any proxy. */
	get platformAddress(): Address {
		return this.#parts.platform.addresses.address;
	}

	/**
	 * Publishes a changed document under the next revision.
	 *
	 * @param change - Makes the next document from the present one.
	 * @returns The revision.
	 */
	async publish(change: (before: Configuration) => Configuration): Promise<number> {
		const revision = this.configuration.revision + 1;
		this.#configuration = configurationSchema.parse({...change(this.configuration), revision});
		await this.#publishText(this.#configuration);
		return revision;
	}

	/**
	 * Does something to the platform.
	 *
	 * @param control - What to do.
	 */
	async platform(control: PlatformControl): Promise<void> {
		await this.#parts.platform.apply(control);
	}

	/**
	 * Switches a fault between processes on, or all off.
	 *
	 * @param fault - Fault; needs a proxied fleet.
	 */
	fault(fault: ProxyFault): void {
		if (this.#parts.proxy === undefined) {
			throw new TypeError('the fleet has no fault proxy');
		}

		this.#parts.proxy.apply(fault);
	}

	/**
	 * Cuts groups of failure domains off from each other; the platform is a domain named `platform`.
	 *
	 * @param groups - Failure domains that still reach each other.
	 */
	partition(...groups: ReadonlyArray<readonly string[]>): void {
		this.fault({type: 'partition', groups});
	}

	/** Ends every fault between processes. */
	heal(): void {
		this.fault({type: 'heal'});
	}

	/** Ends a host's process at once; the platform's list follows with its lag. */
	async killHost(id: string): Promise<void> {
		await this.hosts.get(id).child.kill();
		await this.publishHosts();
	}

	/** Asks a host to stop, as a planned stop does, and waits until it has. */
	async stopHost(id: string): Promise<number | undefined> {
		this.hosts.markLeaving(id);
		await this.publishHosts();
		const code = await this.hosts.get(id).child.stop();
		await this.publishHosts();
		return code;
	}

	/** Starts a host's process again after it ended. */
	async replaceHost(id: string): Promise<void> {
		await this.hosts.get(id).child.kill();
		await this.hosts.launch(id);
		await this.publishHosts();
	}

	/** Publishes the present hosts in the platform's list. */
	async publishHosts(): Promise<void> {
		await this.platform({type: 'hosts', hosts: this.hosts.list});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		const {proxy, platform, weights, upstreams} = this.#parts;
		await this.#hosts?.[Symbol.asyncDispose]();
		await Promise.all([proxy, platform, weights, upstreams].map(async each => each?.[Symbol.asyncDispose]()));
	}

	async #startHosts(): Promise<void> {
		const {shape} = this;
		const {platform, proxy, upstreams, weights} = this.#parts;
		this.#configuration = documentOf(shape, {
			upstreams: proxy === undefined ? upstreams.addresses : await proxied(shape, proxy, upstreams.addresses),
			weightStore: weights?.addresses.address,
		}, 1);
		await this.#publishText(this.#configuration);
		this.#hosts = await HostGroup.start(shape, platform.addresses.address, proxy);
		await this.publishHosts();
		await this.hosts.ready(hostsOf(shape).map(host => host.id));
	}

	async #publishText(document: Configuration): Promise<void> {
		await this.platform({type: 'publish', text: JSON.stringify(document), revision: document.revision});
	}
}
