/** A small site of the users' platform with real gateway processes, for tests of the whole path. */
import {Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {Agent, request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {takePort} from '../fleet/ports.js';
import {type Address} from '../../src/core/index.js';
import {Ledger} from '../../stand-ins/gateway/ledger.js';
import {StoreStandIn} from '../../stand-ins/gateway/store.js';
import {UpstreamStandIn} from '../../stand-ins/gateway/upstream.js';

const lineSchema = z.record(z.string(), z.unknown());
const loopback = '127.0.0.1';
const readyWithin = 30_000;

export const key = 'key-of-acme';

/** Figures of a small, quick engine. */
export const engine = {
	Slots: 8,
	KvCapacityTokens: 100_000,
	Stride: 10,
	Models: [{Name: 'm'}],
	step_ms: 1,
	per_seq_ms: 0.01,
	context_per_k: 0.01,
	read_per_s: 200_000,
	pairs_per_m: 0.01,
	chunk: 2048,
	usual: {prompt: 5000, answer: 100},
	HopMs: 0.1,
};

export const model = {
	slots: 8, memory: 100_000, stride: 10, step: 1, perRequest: 0.01, perThousand: 0.01, readRate: 200, pairs: 0.01, chunk: 2048, hop: 0.1, usualPrompt: 5000, usualAnswer: 100,
};

type Route = Readonly<Record<string, unknown>>;

const routes: readonly Route[] = [
	{
		Name: 'ask', Hostname: 'api.example', Prefix: '/ask/', RouteType: 'streaming', TimeoutMs: 8000, TargetLatencyMs: 300, Priority: 1, Service: 'model', MaxAttempts: 2, SessionAffinity: true, StreamResume: true, GapTargetMs: 250,
	},
	{
		Name: 'once', Hostname: 'api.example', Prefix: '/once/', RouteType: 'unsafe', TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, Service: 'plain', MaxAttempts: 2,
	},
	{
		Name: 'read', Hostname: 'api.example', Prefix: '/read/', RouteType: 'safe', TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, Service: 'plain', MaxAttempts: 2,
	},
	{
		Name: 'deeper', Hostname: 'api.example', Prefix: '/read/deeper/', RouteType: 'safe', TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, Service: 'nowhere', MaxAttempts: 2,
	},
	{
		Name: 'single', Hostname: 'api.example', Prefix: '/single/', RouteType: 'unsafe', TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, Service: 'plain', MaxAttempts: 1,
	},
	{
		Name: 'open', Hostname: 'api.example', Prefix: '/open/', RouteType: 'safe', TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, Service: 'plain', MaxAttempts: 2, Public: true,
	},
];

/**
 * @param version - Version.
 * @param change - Fields that differ from the usual.
 * @returns A configuration as the operator writes it.
 */
export function configuration(version: number, change: Readonly<Record<string, unknown>> = {}): unknown {
	return {
		Version: version,
		Routes: routes,
		Services: [
			{
				Name: 'model', HealthPath: '/healthz', MaxConnections: 100, Protocol: 'h1', Tls: false, Engine: engine,
			},
			{
				Name: 'plain', HealthPath: '/healthz', MaxConnections: 50, Protocol: 'h1', Tls: false,
			},
			{
				Name: 'nowhere', HealthPath: '/healthz', MaxConnections: 50, Protocol: 'h1', Tls: false,
			},
		],
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 100_000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
		},
		Tenants: [{Name: 'acme', ApiKeys: [key], Priority: 1}],
		...change,
	};
}

export type Answer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: string;
	/** Whether the answer ended as its framing said. */
	readonly isWhole: boolean;
	/** Milliseconds until the end. */
	readonly took: number;
};

export type Asking = {
	readonly path: string;
	readonly id: string;
	readonly method?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly agent?: Agent;
	readonly signal?: AbortSignal;
	/** Called at each part of the body. */
	readonly onData?: (text: string) => void;
};

/** One gateway process. */
export class Host {
	readonly name: string;
	readonly caller: Address;
	readonly ready: Address;
	readonly peer: Address;
	readonly metrics: Address;
	readonly file: string;
	readonly lines: Array<Record<string, unknown>> = [];
	#process: ChildProcess | undefined;
	#rest = '';

	constructor(name: string, ports: readonly number[], file: string) {
		this.name = name;
		this.caller = {host: loopback, port: ports[0]!};
		this.ready = {host: loopback, port: ports[1]!};
		this.peer = {host: loopback, port: ports[2]!};
		this.metrics = {host: loopback, port: ports[3]!};
		this.file = file;
	}

	get process(): ChildProcess {
		return this.#process!;
	}

	/** Starts the process. */
	start(): void {
		this.#process = spawn(process.execPath, ['dist/platform/main.js'], {
			env: {...process.env, CRANBERRYTIDE_CONFIG: this.file}, stdio: ['ignore', 'pipe', 'inherit'],
		});
		this.#process.stdout!.on('data', chunk => {
			this.#read(String(chunk));
		});
	}

	/**
	 * @param event - Event of a log line.
	 * @param request - Request it is about.
	 * @returns The lines.
	 */
	logged(event: string, request?: string): ReadonlyArray<Record<string, unknown>> {
		return this.lines.filter(line => line.event === event && (request === undefined || line.request === request));
	}

	/** Ends the process at once. */
	async kill(): Promise<void> {
		if (this.process.exitCode === null && this.process.signalCode === null) {
			const ended = once(this.process, 'exit');
			this.process.kill('SIGKILL');
			await ended;
		}
	}

	#read(text: string): void {
		const parts = (this.#rest + text).split('\n');
		this.#rest = parts.pop() ?? '';
		for (const part of parts) {
			this.lines.push(lineSchema.parse(JSON.parse(part)));
		}
	}
}

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

/** A connection that ended before any answer. */
export class CallFailure extends Error {
	/** Whether the connection had carried other requests. */
	readonly isReused: boolean;

	constructor(cause: Error, isReused: boolean) {
		super(cause.message, {cause});
		this.isReused = isReused;
	}
}

/**
 * @param address - Where to.
 * @param asking - What.
 * @returns The answer; rejects where the connection ended before any.
 */
export async function call(address: Address, asking: Asking): Promise<Answer> {
	const began = performance.now();
	return new Promise((resolve, reject) => {
		let isAnswered = false;
		const outgoing = request({
			host: address.host,
			port: address.port,
			path: asking.path,
			method: asking.method ?? 'POST',
			agent: asking.agent ?? new Agent(),
			headers: {...(asking.id !== '' && {'X-Request-Id': asking.id}), ...asking.headers},
			signal: asking.signal,
		}, incoming => {
			isAnswered = true;
			const chunks: Uint8Array[] = [];
			const end = () => {
				resolve({
					status: incoming.statusCode ?? 0,
					headers: incoming.headers,
					body: Buffer.concat(chunks).toString('utf8'),
					isWhole: incoming.complete,
					took: performance.now() - began,
				});
			};

			incoming.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
				asking.onData?.(Buffer.from(chunk).toString('utf8'));
			});
			incoming.on('end', end);
			incoming.on('error', end);
		});
		outgoing.on('error', error => {
			if (!isAnswered) {
				reject(new CallFailure(error, outgoing.reusedSocket));
			}
		});
		outgoing.end(asking.body);
	});
}

/**
 * @param tokens - Length of the prompt.
 * @param events - Events of the answer.
 * @returns Headers of a model request.
 */
export function prompt(tokens: number, events: number): Readonly<Record<string, string>> {
	return {'X-Model': 'm', 'X-Token-Count': `${tokens},${events * engine.Stride}`};
}

/**
 * @param answer - Answer of an engine.
 * @returns The ids of its events, in order.
 */
export function eventsOf(answer: Answer): readonly number[] {
	return [...answer.body.matchAll(/^id: (\d+)$/gmv)].map(match => Number(match[1]));
}
