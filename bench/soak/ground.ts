/** The site of a soak, and the mishaps that come to it from outside. */
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {assertNever} from '../../src/core/index.js';
import {type UpstreamStandIn} from '../../stand-ins/gateway/upstream.js';
import {FaultProxy, settingsSchema} from '../../stand-ins/proxy/service.js';
import {configuration} from '../gateway/figures.js';
import {type Host} from '../gateway/host.js';
import {Site} from '../gateway/site.js';
import {type Mishap} from './plan.js';
import {type Excuse} from './promises.js';

/** Upstreams of each kind. */
export const engines = 3;
export const plains = 2;

/** Milliseconds between SIGTERM and the end of a process; what a caller was promised ends within it. */
const grace = 9000;

/** Milliseconds by which a link is slowed. */
const linkDelay = 80;

/** Version that no mishap has reached. */
const lastVersion = 1000;

/** One soak's processes. */
export class Ground implements AsyncDisposable {
	/**
	 * @param hosts - Gateway processes.
	 * @returns A site whose hosts are ready, each behind links of its own.
	 */
	static async start(hosts: number): Promise<Ground> {
		const proxy = await FaultProxy.start(settingsSchema.parse({}));
		const links: string[] = [];
		const site = await Site.start({
			hosts, engines, plains, settings: {grace}, async link(name, target) {
				links.push(name);
				return proxy.open({name, target, listen: {host: '127.0.0.1', port: 0}});
			},
		});
		return new Ground(site, proxy, links);
	}

	readonly site: Site;
	readonly excuses: Excuse[] = [];
	readonly story: string[] = [];
	/** Lines that each host had written before each of its runs. */
	readonly #runs: number[][];
	readonly #proxy: FaultProxy;
	readonly #links: readonly string[];
	readonly #underWay: Array<Promise<void>> = [];
	readonly #isDown: boolean[];
	#version = 1;

	private constructor(site: Site, proxy: FaultProxy, links: readonly string[]) {
		this.site = site;
		this.#proxy = proxy;
		this.#links = links;
		this.#runs = site.hosts.map(() => [0]);
		this.#isDown = site.hosts.map(() => false);
	}

	get links(): number {
		return this.#links.length;
	}

	/** Lets a mishap happen; it ends by itself. */
	strike(mishap: Mishap): void {
		this.story.push(`${Math.round(performance.now())} ms ${JSON.stringify(mishap)}`);
		this.#underWay.push(this.#strike(mishap));
	}

	/** Waits until every mishap is over. */
	async settle(): Promise<void> {
		await Promise.all(this.#underWay);
		this.#proxy.apply({type: 'heal'});
		this.#publish(lastVersion);
	}

	/** Versions that each run of a host brought into force. */
	versions(): ReadonlyArray<readonly number[]> {
		return this.site.hosts.flatMap((host, index) => this.#runs[index]!.map((from, run) => {
			const lines = host.lines.slice(from, this.#runs[index]![run + 1]);
			return lines.filter(line => line.event === 'configuration').map(line => Number(line.version));
		}));
	}

	isCurrent(host: Host): boolean {
		return host.logged('configuration').at(-1)?.version === lastVersion;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.site[Symbol.asyncDispose]();
		await this.#proxy[Symbol.asyncDispose]();
	}

	get #upstreams(): readonly UpstreamStandIn[] {
		return [...this.site.engines, ...this.site.plains];
	}

	async #strike(mishap: Mishap): Promise<void> {
		switch (mishap.type) {
			case 'kill': {
				await this.#kill(mishap.host, mishap.down);
				return;
			}

			case 'pause': {
				await this.#pause(mishap.host, mishap.length);
				return;
			}

			case 'stop': {
				await this.#stop(mishap.host);
				return;
			}

			case 'reload': {
				if (!this.#isDown[mishap.host]!) {
					this.site.hosts[mishap.host]!.process.kill('SIGHUP');
				}

				return;
			}

			case 'store': {
				this.site.store.mode = mishap.mode;
				await sleep(mishap.length);
				this.site.store.mode = 'serving';
				return;
			}

			case 'compact': {
				this.site.store.compact();
				return;
			}

			case 'publish': {
				this.#publish(this.#version + 1);
				return;
			}

			case 'upstream': {
				const upstream = this.#upstreams[mishap.upstream]!;
				upstream.fault = mishap.fault;
				await sleep(mishap.length);
				upstream.fault = 'none';
				return;
			}

			case 'leave': {
				const upstream = this.#upstreams[mishap.upstream]!;
				this.site.store.remove(`servers/${upstream.id}`);
				await sleep(mishap.length);
				this.site.register(upstream);
				return;
			}

			case 'link': {
				const where = {link: this.#links[mishap.link]};
				this.#proxy.apply(mishap.how === 'delay' ? {type: 'delay', where, delay: linkDelay} : {type: mishap.how, where});
				await sleep(mishap.length);
				this.#proxy.apply({type: 'heal'});
				return;
			}

			default: {
				assertNever(mishap);
			}
		}
	}

	#publish(version: number): void {
		this.#version = version;
		this.site.store.put('op/config', configuration(version));
	}

	/** One mishap at a time for each process. */
	async #take(host: number, type: Excuse['type'], act: (process: Host) => Promise<void>): Promise<void> {
		if (this.#isDown[host]!) {
			return;
		}

		this.#isDown[host] = true;
		const from = performance.now();
		await act(this.site.hosts[host]!);
		this.excuses.push({
			host, from, to: performance.now(), type,
		});
		this.story.push(`${Math.round(from)} to ${Math.round(performance.now())} ms host ${host} ${type}`);
		this.#isDown[host] = false;
	}

	async #kill(host: number, down: number): Promise<void> {
		await this.#take(host, 'killed', async process => {
			await process.kill();
			await sleep(down);
			await this.#restart(host, process);
		});
	}

	async #pause(host: number, length: number): Promise<void> {
		await this.#take(host, 'paused', async ({process}) => {
			process.kill('SIGSTOP');
			await sleep(length);
			process.kill('SIGCONT');
		});
	}

	async #stop(host: number): Promise<void> {
		await this.#take(host, 'stopping', async process => {
			const ended = once(process.process, 'exit');
			process.process.kill('SIGTERM');
			await ended;
			await this.#restart(host, process);
		});
	}

	async #restart(host: number, process: Host): Promise<void> {
		this.#runs[host]!.push(process.lines.length);
		process.start();
		await this.site.ready(process);
	}
}
