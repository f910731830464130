/** A TCP proxy between processes that delays, cuts, drops and black-holes their connections on demand. */
import {once} from 'node:events';
import {createServer, type Server as TcpServer, type Socket} from 'node:net';
import {z} from 'zod';
import {type Address} from '../../src/core/index.js';
import {answerJson, readText, Server} from '../common/server.js';
import {type Running} from '../common/command.js';
import {addressSchema, listenSchema} from '../common/settings.js';
import {
	concerns, conditionOf, faultSchema, type Fault, type Route,
} from './faults.js';
import {Pipe} from './pipe.js';

const linkSchema = z.object({
	name: z.string().min(1),
	listen: listenSchema.prefault({}),
	/** Connections are reset while there is none. */
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

export class FaultProxy implements Running {
	/**
	 * @param settings - Checked settings.
	 * @returns The proxy, listening.
	 */
	static async start(settings: Settings): Promise<FaultProxy> {
		const started = new FaultProxy(settings);
		await started.#control.listen();
		for (const link of settings.links) {
			await started.open(link);
		}

		return started;
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
			answerJson(outgoing, 204);
		});
	}

	get addresses() {
		return {
			control: this.#control.address,
			links: Object.fromEntries([...this.#links.values()].map(each => [each.name, each.address])),
		};
	}

	/** Connections that are open now. */
	get connections(): number {
		return this.#pipes.size;
	}

	/**
	 * Opens a link.
	 *
	 * @param link - Name, target and where to listen.
	 * @returns The address that leads to the target.
	 */
	async open(link: Link): Promise<Address> {
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
	 * Leads new connections of a link elsewhere, as when a replaced process listens on another port.
	 *
	 * @param name - Link.
	 * @param target - Where its process listens now.
	 */
	retarget(name: string, target: Address): void {
		this.#targets.set(name, target);
	}

	/**
	 * Names the failure domain of a process.
	 *
	 * @param address - Address that it connects from.
	 * @param domain - Its failure domain.
	 */
	place(address: string, domain: string): void {
		this.#sources.set(address, domain);
	}

	/**
	 * Switches a fault on, or all off.
	 *
	 * @param fault - Fault wanted.
	 */
	apply(fault: Fault): void {
		if (fault.type === 'heal') {
			this.#faults = [];
		} else if (fault.type === 'cut') {
			for (const pipe of this.#concerned(fault)) {
				pipe.reset();
			}
		} else {
			this.#faults = [...this.#faults, fault];
		}

		for (const pipe of this.#concerned(fault)) {
			pipe.change(conditionOf(this.#faults, pipe.route));
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

	#concerned(fault: Fault): readonly Pipe[] {
		return [...this.#pipes].filter(pipe => concerns(fault, pipe.route));
	}

	#accept(socket: Socket, route: Route): void {
		const condition = conditionOf(this.#faults, route);
		const target = this.#targets.get(route.link);
		if (condition.isRefused || target === undefined) {
			socket.resetAndDestroy();
			return;
		}

		const pipe = new Pipe(socket, target, route, condition);
		this.#pipes.add(pipe);
		void pipe.closed.then(() => this.#pipes.delete(pipe));
	}
}
