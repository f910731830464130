/** An upstream of the users' platform: a model engine with its step model, or a plain service, and the ways they fail. */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {text} from 'node:stream/consumers';
import {z} from 'zod';
import {type Address} from '../../src/core/index.js';
import {portOf} from '../../src/entry/ports.js';
import {type EngineModel} from '../../src/core/gateway/types.js';
import {Batch, memoryOf, type BatchJob} from './batch.js';
import {answerPlain, type Fault} from './faults.js';
import {type Ledger} from './ledger.js';
import {Tickets} from './tickets.js';

export type UpstreamOptions = {
	readonly id: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly ledger: Ledger;
	/** Present for a model engine. */
	readonly model?: EngineModel;
	/** Milliseconds of work of a plain service. */
	readonly work?: number;
};

type Stream = {
	readonly job: BatchJob;
	readonly outgoing: ServerResponse;
	readonly first: number;
	next: number;
	/** Engines whose part has not been read. */
	parts: number;
	readonly helpers: readonly UpstreamStandIn[];
};

const orderSchema = z.object({
	Operation: z.string(), Id: z.string(), Tokens: z.number().optional(), HoldMs: z.number().optional(),
});

const loopback = '127.0.0.1';
const notRun = {'x-not-executed': '1'};

/** The upstreams of a test, by address: engines that share a prompt tell each other without a network. */
const neighbours = new Map<string, UpstreamStandIn>();

export class UpstreamStandIn implements AsyncDisposable {
	fault: Fault = 'none';
	/** Whether it reads no parts of others' prompts. */
	isAloof = false;
	readonly #options: UpstreamOptions;
	readonly #server: Server;
	readonly #batch: Batch | undefined;
	readonly #streams = new Map<string, Stream>();
	readonly #tickets = new Tickets();
	#isBusy = false;
	#isDraining = false;
	/** Unix milliseconds of its start. */
	#born = Date.now();

	/**
	 * @param options - Who it is and what it runs.
	 */
	constructor(options: UpstreamOptions) {
		this.#options = options;
		this.#batch = options.model === undefined ? undefined : new Batch(options.model);
		this.#server = createServer({keepAliveTimeout: 5000}, (incoming, outgoing) => {
			void this.#take(incoming, outgoing);
		});
	}

	get id(): string {
		return this.#options.id;
	}

	/** Whether it runs a model. */
	get isEngine(): boolean {
		return this.#options.model !== undefined;
	}

	get address(): Address {
		return {host: loopback, port: portOf(this.#server)};
	}

	/** Reservations held now. */
	get tickets(): readonly string[] {
		return this.#tickets.names;
	}

	/** What stands of it in the store. */
	get registration(): Readonly<Record<string, unknown>> {
		const {service, failureDomain, slots} = this.#options;
		return {
			Service: service,
			Address: `${this.address.host}:${this.address.port}`,
			Zone: failureDomain,
			Version: 'v1',
			Slots: slots,
			State: this.#isDraining ? 'draining' : 'ready',
			ColdRemainingMs: 0,
			Sequence: 1,
			born: this.#born,
		};
	}

	/** Starts to listen on a free port. */
	async listen(): Promise<void> {
		this.#born = Date.now();
		this.#server.listen(0, loopback);
		await once(this.#server, 'listening');
		neighbours.set(`${this.address.host}:${this.address.port}`, this);
	}

	/** From now on it says that it is leaving, and serves on. */
	drain(): void {
		this.#isDraining = true;
	}

	/** Breaks all connections and stops listening, as a killed process does. */
	async crash(): Promise<void> {
		neighbours.delete(`${this.address.host}:${this.address.port}`);
		const closed = once(this.#server, 'close');
		this.#server.close();
		this.#server.closeAllConnections();
		await closed;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#tickets[Symbol.dispose]();
		if (this.#server.listening) {
			await this.crash();
		}
	}

	/** Begins to read a part of another engine's prompt. */
	help(job: BatchJob): void {
		this.#batch?.add({...job, events: 0, memory: 0});
		this.#turn();
	}

	/** A part of a prompt that this engine writes the answer of has been read. */
	partRead(id: string): void {
		const stream = this.#streams.get(id);
		if (stream === undefined) {
			return;
		}

		stream.parts--;
		if (stream.parts === 0) {
			this.#batch?.release(id);
			this.#turn();
		}
	}

	async #take(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
		if (incoming.url === '/v1/order') {
			await this.#order(incoming, outgoing);
			return;
		}

		const id = String(incoming.headers['x-request-id'] ?? '');
		if (incoming.headers['x-expect-instance'] !== this.id) {
			incoming.resume();
			outgoing.writeHead(421, {'x-instance-id': this.id});
			outgoing.end();
			return;
		}

		if (this.fault === 'early') {
			outgoing.writeHead(503, {...notRun, 'x-request-id': id, 'content-length': 0});
			outgoing.end();
			return;
		}

		let body: string;
		try {
			body = await text(incoming);
		} catch {
			return;
		}

		if (this.fault === 'shed') {
			outgoing.writeHead(503, {...notRun, 'x-request-id': id});
			outgoing.end();
			return;
		}

		this.#options.ledger.record(id, this.id, incoming, body);
		if (this.fault === 'dark') {
			return;
		}

		if (this.fault === 'lost') {
			incoming.socket.resetAndDestroy();
			return;
		}

		await (this.#batch === undefined ? this.#servePlain(id, body, outgoing) : this.#serveStream(id, incoming, outgoing));
	}

	async #servePlain(id: string, body: string, outgoing: ServerResponse): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, this.#options.work ?? 1);
		});
		await answerPlain(outgoing, {
			fault: this.fault, id, signature: this.id, payload: `answer to ${id}: ${body}`,
		});
	}

	async #serveStream(id: string, incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
		const model = this.#options.model!;
		const [prompt = 0, answer = 0] = String(incoming.headers['x-token-count'] ?? '').split(',').map(Number);
		const helpers = this.#helpers(incoming);
		if (typeof helpers === 'string') {
			outgoing.writeHead(503, {...notRun, 'x-request-id': id, 'at-server': helpers});
			outgoing.end();
			return;
		}

		const isHeld = String(incoming.headers['x-helpers'] ?? '').includes('/');
		const memory = isHeld ? 0 : memoryOf(model, prompt, answer);
		if (memory > model.memory) {
			outgoing.writeHead(503, {...notRun, 'x-request-id': id});
			outgoing.end();
			return;
		}

		const first = Number(incoming.headers['last-event-id'] ?? 0);
		const events = Math.max(Math.ceil(answer / model.stride) - first, 1);
		const job: BatchJob = {
			id, prompt, parts: helpers.length + 1, events, priority: Number(incoming.headers['x-request-priority'] ?? 5), memory,
		};
		this.#streams.set(id, {
			job, outgoing, first, next: first + 1, parts: helpers.length + 1, helpers,
		});
		outgoing.once('close', () => {
			this.#streams.delete(id);
			this.#batch?.remove(id);
		});
		this.#batch?.add(job);
		for (const helper of helpers) {
			helper.help(job);
		}

		this.#turn();
	}

	/** The engines named as helpers, this one left out, or the address of one that is gone or lacks its reservation. */
	#helpers(incoming: IncomingMessage): readonly UpstreamStandIn[] | string {
		const helpers: UpstreamStandIn[] = [];
		const names = String(incoming.headers['x-helpers'] ?? '').split(',').filter(Boolean);
		for (const name of names) {
			const [address = '', ticket] = name.split('/');
			const helper = neighbours.get(address);
			if (helper === undefined || helper.isAloof || (ticket !== undefined && !helper.tickets.includes(ticket))) {
				return address;
			}

			if (helper !== this) {
				helpers.push(helper);
			}
		}

		return helpers;
	}

	#turn(): void {
		if (this.#isBusy) {
			return;
		}

		const time = this.#batch?.begin();
		if (time === undefined) {
			return;
		}

		this.#isBusy = true;
		setTimeout(() => {
			this.#isBusy = false;
			this.#advance();
			this.#turn();
		}, time);
	}

	#advance(): void {
		for (const advance of this.#batch?.finish() ?? []) {
			if (advance.isRead) {
				for (const each of neighbours.values()) {
					each.partRead(advance.job.id);
				}
			}

			const stream = this.#streams.get(advance.job.id);
			if (advance.hasEvent && stream !== undefined) {
				this.#write(stream, advance.isOver);
			}
		}
	}

	#write(stream: Stream, isOver: boolean): void {
		const {outgoing, job} = stream;
		if (!outgoing.headersSent) {
			outgoing.writeHead(200, {'content-type': 'text/event-stream', 'x-request-id': job.id, 'x-response-signature': this.id});
		}

		const event = `id: ${stream.next}\ndata: piece ${stream.next}\n\n`;
		if (this.fault === 'cut' && stream.next > stream.first + 2) {
			outgoing.write(event.slice(0, 9));
			setTimeout(() => {
				outgoing.destroy();
			}, 5);
			this.#streams.delete(job.id);
			return;
		}

		stream.next++;
		outgoing.write(event);
		if (isOver) {
			this.#streams.delete(job.id);
			outgoing.end();
		}
	}

	async #order(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
		const order = orderSchema.parse(JSON.parse(await text(incoming)));
		if (order.Operation === 'release') {
			outgoing.writeHead(this.#tickets.release(order.Id) ? 200 : 409);
			outgoing.end('{}');
			return;
		}

		const memory = this.#options.model?.memory ?? 0;
		const free = memory - this.#tickets.tokens - (this.#batch?.used ?? 0);
		const isHeld = this.#tickets.reserve(order.Id, order.Tokens ?? 0, order.HoldMs ?? 0, free);
		outgoing.writeHead(isHeld ? 200 : 409);
		outgoing.end(isHeld ? JSON.stringify({Free: memory - this.#tickets.tokens}) : '{}');
	}
}
