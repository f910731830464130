/** TCP proxy between processes that delays, resets and black-holes their connections on demand. */
import {once} from 'node:events';
import {createServer, type Server as TcpServer, type Socket} from 'node:net';
import {z} from 'zod';
import {type Address} from '../../src/core/index.js';
import {sendJson, readText, Server} from '../common/server.js';
import {type RunningProgram} from '../common/command.js';
import {addressSchema, listenSchema} from '../common/settings.js';
import {
	affects, combineFaults, faultSchema, type Fault, type Route,
} from './faults.js';
import {Pipe} from './pipe.js';

const linkSchema = z.object({
	name: z.string().min(1),
	listen: listenSchema.prefault({}),
	/** Connections are reset while it is absent. */
	target: addressSchema.optional(),
	/** Failure domain of the target. */
	domain: z.string().optional(),
}).readonly();

export const settingsSchema = z.object({
	control: listenSchema.prefault({}),
	links: z.array(linkSchema).readonly().default([]),
	/** Failure domain of the process behind each source address. */
	sources: z.record(z.string(), z.string()).readonly().default({}),
}).readonly();

export type Link = z.input<typeof linkSchema>;
export type Settings = z.infer<typeof settingsSchema>;

type OpenLink = {readonly name: string; readonly server: TcpServer; readonly address: Address};

export class FaultProxy implements RunningProgram {
	/** Starts the proxy with its links and waits until they listen. */
	static async start(settings: Settings): Promise<FaultProxy> {
		const proxy = new FaultProxy(settings);
		await proxy.#control.listen();
		for (const link of settings.links) {
			await proxy.openLink(link);
		}

		return proxy;
	}

	readonly #control: Server;
	readonly #sources: Map<string, string>;
	readonly #links = new Map<string, OpenLink>();
	readonly #targets = new Map<string, Address>();
	readonly #pipes = new Set<Pipe>();
	#faults: readonly Fault[] = [];

	private constructor(settings: Settings) {
		this.#sources = new Map(Object.entries(settings.sources));
		this.#control = new Server('proxy-control', settings.control);
		this.#control.route('post', '/control', async ({incoming, outgoing}) => {
			this.apply(faultSchema.parse(JSON.parse(await readText(incoming))));
			sendJson(outgoing, 204);
		});
	}

	get addresses() {
		return {
			control: this.#control.address,
			links: Object.fromEntries([...this.#links.values()].map(each => [each.name, each.address])),
		};
	}

	/** Number of open connections. */
	get connections(): number {
		return this.#pipes.size;
	}

	/**
	 * Opens a link.
	 *
	 * @returns The address at which the link listens.
	 */
	async openLink(link: Link): Promise<Address> {
		const {name, listen, target, domain} = linkSchema.parse(link);
		const server = createServer({allowHalfOpen: true, pauseOnConnect: true}, socket => {
			this.#accept(socket, {from: this.#sources.get(socket.remoteAddress ?? ''), to: domain, link: name});
		});
		server.listen(listen.port, listen.host);
		await once(server, 'listening');
		const bound = server.address();
		const address = {host: listen.host, port: typeof bound === 'object' ? bound?.port ?? 0 : 0};
		this.#links.set(name, {name, server, address});
		if (target !== undefined) {
			this.retarget(name, target);
		}

		return address;
	}

	/**
	 * Changes the target of new connections of a link, for example when a replaced process listens on another port.
	 *
	 * @param name - Name of the link.
	 * @param target - New address of its process.
	 */
	retarget(name: string, target: Address): void {
		this.#targets.set(name, target);
	}

	/**
	 * Sets the failure domain of a process.
	 *
	 * @param address - Source address of its connections.
	 * @param domain - Its failure domain.
	 */
	setFailureDomain(address: string, domain: string): void {
		this.#sources.set(address, domain);
	}

	/** Activates a fault, or ends all with `heal`. A `cut` acts once. */
	apply(fault: Fault): void {
		if (fault.type === 'heal') {
			this.#faults = [];
		} else if (fault.type === 'cut') {
			for (const pipe of this.#findAffected(fault)) {
				pipe.reset();
			}
		} else {
			this.#faults = [...this.#faults, fault];
		}

		for (const pipe of this.#findAffected(fault)) {
			pipe.setEffect(combineFaults(this.#faults, pipe.route));
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const pipe of this.#pipes) {
			pipe.destroy();
		}

		await Promise.all([...this.#links.values()].map(async ({server}) => new Promise(resolve => {
			server.close(resolve);
		})));
		await this.#control[Symbol.asyncDispose]();
	}

	#findAffected(fault: Fault): readonly Pipe[] {
		return [...this.#pipes].filter(pipe => affects(fault, pipe.route));
	}

	#accept(socket: Socket, route: Route): void {
		const effect = combineFaults(this.#faults, route);
		const target = this.#targets.get(route.link);
		if (effect.isRefused || target === undefined) {
			socket.resetAndDestroy();
			return;
		}

		const pipe = new Pipe(socket, target, route, effect);
		this.#pipes.add(pipe);
		void pipe.closed.then(() => this.#pipes.delete(pipe));
	}
}
