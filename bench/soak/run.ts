/** One soak: real gateway processes under mishaps from outside, and callers that check the promises. */
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {assertNever} from '../../src/core/index.js';
import {type UpstreamStandIn} from '../../stand-ins/gateway/upstream.js';
import {FaultProxy, settingsSchema} from '../../stand-ins/proxy/service.js';
import {configuration, Site, type Host} from '../gateway/site.js';
import {seeded} from '../model/workload.js';
import {Client} from './clients.js';
import {plan, type Mishap} from './plan.js';
import {broken, goesBack, type Excuse} from './promises.js';

export type Soak = {
	readonly seed: number;
	readonly hosts: number;
	readonly clients: number;
	/** Milliseconds in which mishaps begin. */
	readonly length: number;
};

export type Outcome = {
	readonly requests: number;
	readonly served: number;
	readonly mishaps: number;
	/** Promises that were broken. */
	readonly broken: readonly string[];
	/** What happened, for whoever looks for a cause. */
	readonly story: readonly string[];
};

const engines = 3;
const plains = 2;

/** Milliseconds between SIGTERM and the end of a process; what a caller was promised ends within it. */
const grace = 9000;

/** Milliseconds by which a link is slowed. */
const linkDelay = 80;

/** Milliseconds after the last mishap within which every host serves again, and knows the newest configuration. */
const recovery = 15_000;

/** Milliseconds within which memory that nobody renews is free again: the longest hold and some. */
const memoryFree = 6000;

const lookInterval = 20;

/** Version that no mishap has reached. */
const lastVersion = 1000;

class Ground implements AsyncDisposable {
	static async start(soak: Soak): Promise<Ground> {
		const proxy = await FaultProxy.start(settingsSchema.parse({}));
		const links: string[] = [];
		const site = await Site.start({
			hosts: soak.hosts, engines, plains, settings: {grace}, async link(name, target) {
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

/** Longest time for which this process did not get to look, in milliseconds. */
class Lag implements Disposable {
	most = 0;
	#last = performance.now();
	readonly #timer = setInterval(() => {
		const now = performance.now();
		this.most = Math.max(this.most, now - this.#last - lookInterval);
		this.#last = now;
	}, lookInterval);

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}
}

async function within(time: number, holds: () => boolean | Promise<boolean>): Promise<boolean> {
	for (const end = performance.now() + time; performance.now() < end;) {
		if (await holds()) {
			return true;
		}

		await sleep(lookInterval);
	}

	return false;
}

/** What must hold again once nothing goes wrong any more. */
async function recovered({site, isCurrent}: Pick<Ground, 'site' | 'isCurrent'>): Promise<readonly string[]> {
	const found: string[] = [];
	for (const [index, host] of site.hosts.entries()) {
		const serves = await within(recovery, async () => {
			const answer = await site.ask({path: '/read/x', id: `after-${index}`, method: 'GET'}, host).catch(() => undefined);
			return answer?.status === 200 && isCurrent(host);
		});
		if (!serves) {
			found.push(`${host.name} does not serve the newest configuration ${recovery} ms after the last mishap`);
		}
	}

	const isFree = await within(memoryFree, () => site.engines.every(engine => engine.tickets.length === 0));
	return isFree ? found : [...found, `memory is held at ${site.engines.filter(engine => engine.tickets.length > 0).map(engine => engine.id).join(', ')}`];
}

/**
 * @param soak - Seed and size.
 * @returns What was served and which promises were broken.
 */
export async function run(soak: Soak): Promise<Outcome> {
	using lag = new Lag();
	await using ground = await Ground.start(soak);
	const {site} = ground;
	const planned = plan(soak.seed, {
		hosts: soak.hosts, upstreams: engines + plains, links: ground.links, length: soak.length,
	});
	const clients = Array.from({length: soak.clients}, (_, index) => new Client(`c${index}`, site, seeded((soak.seed * 1000) + index)));
	const ending = new AbortController();
	const running = clients.map(async client => client.run(ending.signal));
	const began = performance.now();
	for (const {at, mishap} of planned) {
		await sleep(Math.max(0, began + at - performance.now()));
		ground.strike(mishap);
	}

	await ground.settle();
	ending.abort();
	await Promise.all(running);
	const after = await recovered(ground);
	const visits = clients.flatMap(client => client.visits);
	const back = ground.versions().filter(versions => goesBack(versions)).map(versions => `a host went back: ${versions.join(', ')}`);
	return {
		requests: visits.length,
		served: visits.filter(({result}) => result.type === 'answered' && result.answer.status === 200 && result.answer.isWhole).length,
		mishaps: planned.length,
		story: ground.story,
		broken: [...broken(visits, id => site.ledger.of(id), ground.excuses, lag.most), ...after, ...back],
	};
}
