/** A second fleet of one host, whose upstreams have the same ids: nothing that it knows may be believed by the hosts of the soak. */
import {readFileSync, writeFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {type Address} from '../../src/core/index.js';
import {createConfiguration} from '../gateway/configuration.js';
import {type Host} from '../gateway/host.js';
import {Site} from '../gateway/site.js';

/** Configuration version of this fleet; higher than all of the soak, so that a host which believes it never reaches the final one. */
export const foreignVersion = 1_000_000;

const settingsSchema = z.looseObject({peer: z.string(), seeds: z.array(z.string()).readonly()});

type HostSettings = z.infer<typeof settingsSchema>;

function formatAddress({host, port}: Address): string {
	return `${host}:${port}`;
}

function changeSettings({settingsFile}: Host, change: (settings: HostSettings) => Partial<HostSettings>): void {
	const settings = settingsSchema.parse(JSON.parse(readFileSync(settingsFile, 'utf8')));
	writeFileSync(settingsFile, JSON.stringify({...settings, ...change(settings)}));
}

export class ForeignFleet implements AsyncDisposable {
	/**
	 * @param failureDomains - Failure domains of the soak: both fleets name them alike.
	 * @returns A fleet whose host is ready.
	 */
	static async start(failureDomains: readonly string[]): Promise<ForeignFleet> {
		const site = await Site.start({
			hosts: 1, engines: 1, plains: 1, failureDomains,
		});
		site.store.put('op/config', createConfiguration(foreignVersion));
		return new ForeignFleet(site);
	}

	readonly #site: Site;
	#isOccupying = false;

	private constructor(site: Site) {
		this.#site = site;
	}

	get #host(): Host {
		return this.#site.hosts[0]!;
	}

	/**
	 * Adds the address of this fleet's host to the seeds of a host, for its next reload or restart.
	 *
	 * @param host - Host of the soak.
	 */
	addTo(host: Host): void {
		const seed = formatAddress(this.#host.peer);
		changeSettings(host, ({seeds}) => ({seeds: [...new Set([...seeds, seed])]}));
	}

	/**
	 * Runs the host of this fleet at the peer address of a host that has ended; without effect while it does so elsewhere.
	 *
	 * @param address - Address.
	 * @param length - Milliseconds.
	 */
	async occupy(address: Address, length: number): Promise<void> {
		if (this.#isOccupying) {
			return;
		}

		this.#isOccupying = true;
		try {
			await this.#moveTo(address);
			await sleep(length);
		} finally {
			await this.#moveTo(this.#host.peer);
			this.#isOccupying = false;
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#site[Symbol.asyncDispose]();
	}

	async #moveTo(address: Address): Promise<void> {
		await this.#host.kill();
		changeSettings(this.#host, () => ({peer: formatAddress(address)}));
		this.#host.start();
		await this.#site.waitUntilReady(this.#host);
	}
}
