/** Stand-in for an upstream: a model engine with a simulated batch, or a plain HTTP service, both with injectable faults. */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {type Address} from '../../src/core/index.js';
import {getPort} from '../../src/entry/ports.js';
import {type EngineModel} from '../../src/core/gateway/types.js';
import {Batch, computeMemory, type BatchJob} from './batch.js';
import {sendPlainAnswer, type Fault} from './faults.js';
import {isOddHead, sendOddHead} from './odd-heads.js';
import {type Ledger} from './ledger.js';
import {Tickets} from './tickets.js';
import {UnframedResponse} from './unframed-response.js';
import {UnreadWatch} from './unread-watch.js';

export type UpstreamOptions = {
	readonly id: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly ledger: Ledger;
	/** Present for a model engine. */
	readonly model?: EngineModel;
	/** Milliseconds that a plain service takes to answer. */
	readonly answerDelay?: number;
	/** Port that it listens on; a free one if absent, which something else may take before it comes back. */
	readonly port?: number;
};

/** What an upstream states about itself in a response. */
export type Statement = {
	/** When the response ended or was broken off; monotonic milliseconds. */
	readonly at: number;
	readonly rateLimit?: number;
	readonly isLeaving: boolean;
	/** Seconds. */
	readonly retryAfter?: number;
};

/** A request that arrived at an upstream. */
export type Arrival = {
	readonly request: string;
	/** Monotonic milliseconds. */
	readonly at: number;
	/** Start of the process that it arrived at. */
	readonly process: number;
	/** Whether the upstream was cold. */
	readonly isCold?: boolean;
	/** Undefined until a response has ended. */
	statement?: Statement;
};

type Stream = {
	readonly job: BatchJob;
	readonly outgoing: ServerResponse;
	/** Number of the last event that the caller already has; 0 for a new stream. */
	readonly first: number;
	/** Number of the next event. */
	next: number;
	/** Engines that have not prefilled their part yet. */
	pendingParts: number;
	readonly helpers: readonly UpstreamStandIn[];
	readonly padding: string;
	/** Part of its prompt that crashes engines, if there is one. */
	readonly crashingPart?: string;
	/** Takes the place of the response once its head is sent: one without framing, or one that is cut off if it remains unread. */
	writer?: UnframedResponse | UnreadWatch;
};

/** Whether an engine comes back under a new id, as platforms do it, or as another process with the id that it had. */
export type Return = 'new id' | 'same id';

const orderSchema = z.object({
	Operation: z.string(), Id: z.string(), Tokens: z.number().optional(), HoldMs: z.number().optional(),
});

const loopback = '127.0.0.1';
const healthPath = '/healthz';
const notExecutedHeaders = {'x-not-executed': '1'};

/** All listening upstreams by address: engines that share a prompt call each other directly. */
const upstreamsByAddress = new Map<string, UpstreamStandIn>();

/** Whether a stream is broken off inside an event. */
function isCut(fault: Fault): boolean {
	return fault === 'cut' || fault === 'ended-inside' || fault === 'unframed-cut' || fault === 'unframed-reset' || fault === 'unframed-reset-at-once';
}

function breakOff(writer: ServerResponse | UnframedResponse | UnreadWatch, fault: Fault): void {
	if (writer instanceof UnframedResponse) {
		if (fault === 'unframed-reset' || fault === 'unframed-reset-at-once') {
			writer.reset();
		} else {
			writer.end();
		}
	} else if (fault === 'ended-inside' || writer instanceof UnreadWatch) {
		writer.end();
	} else {
		writer.destroy();
	}
}

export class UpstreamStandIn implements AsyncDisposable {
	fault: Fault = 'none';
	/** Whether it refuses to prefill parts of prompts for other engines. */
	isRefusingHelp = false;
	/** Whether it refuses to reserve memory. */
	isRefusingHolds = false;
	/** Requests per second that it states in its responses to accept from all hosts together; undefined for no limit. */
	rateLimit: number | undefined;
	/** Whether it states in its responses that it leaves; its registration is another matter. */
	isStatingLeave = false;
	/** Bytes by which each event of a stream is longer, unless a request states another number in `X-Event-Padding`. */
	eventPadding = 0;
	/** Milliseconds after which it cuts off a stream of which nothing is read; undefined if it doesn't. */
	unreadTimeout: number | undefined;
	/** Streams that it cut off as nothing was read of them. */
	unreadStreams = 0;
	/** How many times longer its iterations take than its configuration states. */
	slowness = 1;
	/** Milliseconds between the halves of an answer of a plain service that ends with its connection; undefined for a short time. */
	halfDelay: number | undefined;
	/** Milliseconds that a plain service takes to answer single requests, by their ids. */
	answerDelays: ReadonlyMap<string, number> = new Map();
	/** Cold time that it states in its responses to health checks instead of the true one. */
	statedColdTime: string | undefined;
	/** Seconds for which it wants no more requests from a host that it refuses; undefined if it doesn't say. */
	retryAfter: number | undefined;
	/** Parts of prompts under which it crashes as it begins to write an answer; never the last part of a prompt. */
	crashingParts: ReadonlySet<string> = new Set();
	/** Called as it crashes. */
	onCrash: (() => void) | undefined;
	/** Version of its software, as in its registration. */
	version = 'v1';
	/** Times at which it crashed; monotonic milliseconds. */
	readonly crashes: number[] = [];
	/** Parts of prompts under which it crashed, with the times. */
	readonly crashedUnder: Array<{readonly part: string; readonly at: number}> = [];
	/** Of so many requests, one is run and its connection reset in place of an answer; 0 for none. */
	lossInterval = 0;
	readonly #options: UpstreamOptions;
	readonly #server: Server;
	readonly #batch: Batch | undefined;
	readonly #streams = new Map<string, Stream>();
	readonly #tickets = new Tickets();
	readonly #arrivals: Arrival[] = [];
	#isIterating = false;
	#isDraining = false;
	/** Number of times that it came back under a new id. */
	#newIds = 0;
	#registrationCount = 0;
	#requestCount = 0;
	#runningCalls = 0;
	/** When it goes on after a pause; monotonic milliseconds. */
	#pausedUntil = 0;
	/** When it stops being cold; monotonic milliseconds. */
	#coldUntil = 0;
	/** Address at which it listened last. */
	#lastAddress: Address = {host: loopback, port: 0};
	/** Unix time in milliseconds. */
	#startTime = Date.now();

	constructor(options: UpstreamOptions) {
		this.#options = options;
		this.#batch = options.model === undefined
			? undefined
			: new Batch(options.model, job => {
				if (job.events > 0) {
					options.ledger.recordBeginning(job.id, this.id);
				}
			});
		this.#server = createServer({keepAliveTimeout: 5000}, (incoming, outgoing) => {
			void this.#handleRequest(incoming, outgoing);
		});
	}

	get id(): string {
		return this.#newIds === 0 ? this.#options.id : `${this.#options.id}-${this.#newIds}`;
	}

	/** Whether it is a model engine. */
	get isEngine(): boolean {
		return this.#options.model !== undefined;
	}

	/** Whether its process runs. */
	get isListening(): boolean {
		return this.#server.listening;
	}

	get failureDomain(): string {
		return this.#options.failureDomain;
	}

	/** Requests that arrived, run or not. */
	get arrivals(): readonly Arrival[] {
		return this.#arrivals;
	}

	get address(): Address {
		return this.#server.listening ? {host: loopback, port: getPort(this.#server)} : this.#lastAddress;
	}

	/** Requests that it has begun to work on and not answered. */
	get running(): number {
		return this.#streams.size + this.#runningCalls;
	}

	/** Names of the current memory reservations. */
	get tickets(): readonly string[] {
		return this.#tickets.names;
	}

	/**
	 * Makes it cold, as after a start. It counts the requests that arrive meanwhile; register it to tell the hosts.
	 *
	 * @param duration - Milliseconds for which it is cold.
	 */
	chill(duration: number): void {
		this.#coldUntil = performance.now() + duration;
	}

	/**
	 * Sends nothing and starts nothing for some time, as a process that is stopped and continued by signals: connections stay open.
	 *
	 * @param duration - Milliseconds.
	 */
	pause(duration: number): void {
		this.#pausedUntil = Math.max(this.#pausedUntil, performance.now() + duration);
	}

	/** Returns its next registration record for the store. */
	createRegistration(): Readonly<Record<string, unknown>> {
		this.#registrationCount++;
		const {service, failureDomain, slots} = this.#options;
		return {
			Service: service,
			Address: `${this.address.host}:${this.address.port}`,
			Zone: failureDomain,
			Version: this.version,
			Slots: slots,
			State: this.#isDraining ? 'draining' : 'ready',
			ColdRemainingMs: Math.max(Math.round(this.#coldUntil - performance.now()), 0),
			Sequence: this.#registrationCount,
			born: this.#startTime,
		};
	}

	/** Starts to listen. */
	async listen(): Promise<void> {
		this.#startTime = Date.now();
		this.#server.listen(this.#options.port ?? 0, loopback);
		await once(this.#server, 'listening');
		upstreamsByAddress.set(`${this.address.host}:${this.address.port}`, this);
	}

	/** Takes the place of its former process under the same id and address, as if it had just started. */
	restart(): void {
		this.#startTime++;
		this.slowness = 1;
		this.isStatingLeave = false;
		this.rateLimit = undefined;
	}

	/**
	 * Listens again at its former address after a crash, as a new process.
	 *
	 * @param as - Id of the process.
	 */
	async comeBack(as: Return): Promise<void> {
		const {port} = this.#lastAddress;
		this.#newIds += as === 'new id' ? 1 : 0;
		this.#startTime = Math.max(Date.now(), this.#startTime + 1);
		this.#server.listen(port, loopback);
		await once(this.#server, 'listening');
		upstreamsByAddress.set(`${loopback}:${port}`, this);
	}

	/** Marks its registration as draining; it keeps serving. */
	drain(): void {
		this.#isDraining = true;
	}

	/** Closes all connections and stops listening, like a killed process. */
	async crash(): Promise<void> {
		this.#lastAddress = this.address;
		upstreamsByAddress.delete(`${this.address.host}:${this.address.port}`);
		this.crashes.push(performance.now());
		for (const id of this.#streams.keys()) {
			this.#batch?.remove(id);
		}

		this.#streams.clear();
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

	/** Starts to prefill a part of another engine's prompt. */
	prefillPart(job: BatchJob): void {
		this.#batch?.add({...job, events: 0, memory: 0});
		this.#startIteration();
	}

	/** Starts decoding once all parts of a prompt that this engine answers have been prefilled. */
	handlePartPrefilled(id: string): void {
		const stream = this.#streams.get(id);
		if (stream === undefined) {
			return;
		}

		stream.pendingParts--;
		if (stream.pendingParts === 0) {
			this.#batch?.allowDecode(id);
			this.#startIteration();
		}
	}

	async #handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
		await this.#continued();
		if (outgoing.destroyed) {
			return;
		}

		this.#reportState(outgoing);
		if (incoming.headers['x-expect-instance'] !== this.id) {
			incoming.resume();
			outgoing.writeHead(421, {'x-instance-id': this.id});
			outgoing.end();
			return;
		}

		if (incoming.url === healthPath) {
			this.#answerHealthCheck(outgoing);
			return;
		}

		if (incoming.url === '/v1/order') {
			await this.#handleOrder(incoming, outgoing);
			return;
		}

		const id = String(incoming.headers['x-request-id'] ?? '');

		this.#recordArrival(id, outgoing);
		if (this.fault === 'early') {
			outgoing.writeHead(503, {...notExecutedHeaders, 'x-request-id': id, 'content-length': 0});
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
			if (this.retryAfter !== undefined) {
				outgoing.setHeader('retry-after', String(this.retryAfter));
			}

			outgoing.writeHead(503, {...notExecutedHeaders, 'x-request-id': id});
			outgoing.end();
			return;
		}

		this.#options.ledger.record(id, this.id, incoming, body);
		if (this.fault === 'dark') {
			return;
		}

		this.#requestCount++;
		if (this.fault === 'lost' || (this.lossInterval > 0 && this.#requestCount % this.lossInterval === 0)) {
			incoming.socket.resetAndDestroy();
			return;
		}

		if (this.#batch !== undefined) {
			await this.#serveStream(id, incoming, outgoing);
			return;
		}

		this.#runningCalls++;
		try {
			await this.#servePlain(id, body, outgoing);
		} finally {
			this.#runningCalls--;
		}
	}

	#answerHealthCheck(outgoing: ServerResponse): void {
		this.#recordArrival('health', outgoing);
		const remaining = Math.max(Math.round(this.#coldUntil - performance.now()), 0);
		outgoing.writeHead(this.#isDraining ? 503 : 200, {'x-instance-id': this.id, 'x-cold-ms': this.statedColdTime ?? String(remaining)});
		outgoing.end();
	}

	#recordArrival(request: string, outgoing: ServerResponse): void {
		const arrival: Arrival = {
			request, at: performance.now(), process: this.#startTime, isCold: performance.now() < this.#coldUntil,
		};
		this.#arrivals.push(arrival);
		outgoing.once('close', () => {
			if (outgoing.headersSent) {
				const rateLimit = outgoing.getHeader('server-limit');
				const retryAfter = outgoing.getHeader('retry-after');
				arrival.statement = {
					at: performance.now(),
					rateLimit: rateLimit === undefined ? undefined : Number(rateLimit),
					isLeaving: outgoing.hasHeader('server-leaving'),
					retryAfter: retryAfter === undefined ? undefined : Number(retryAfter),
				};
			}
		});
	}

	/** Sets the headers in which it reports its state; repeated as the response begins, since the state may have changed. */
	#reportState(outgoing: ServerResponse): void {
		if (this.rateLimit === undefined) {
			outgoing.removeHeader('server-limit');
		} else {
			outgoing.setHeader('server-limit', String(this.rateLimit));
		}

		if (this.isStatingLeave) {
			outgoing.setHeader('server-leaving', '1');
			outgoing.setHeader('connection', 'close');
		}
	}

	async #servePlain(id: string, body: string, outgoing: ServerResponse): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, this.answerDelays.get(id) ?? this.#options.answerDelay ?? 1);
		});
		await this.#continued();
		this.#reportState(outgoing);
		await sendPlainAnswer(outgoing, {
			fault: this.fault, id, signature: this.id, payload: `answer to ${id}: ${body}`, halfDelay: this.halfDelay,
		});
	}

	async #serveStream(id: string, incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
		if (isOddHead(this.fault)) {
			sendOddHead(outgoing, id, this.id, this.fault);
			return;
		}

		if (this.fault === 'error') {
			outgoing.writeHead(500, {'x-request-id': id, 'x-response-signature': this.id, 'content-length': 0});
			outgoing.end();
			return;
		}

		const model = this.#options.model!;
		const [prompt = 0, answer = 0] = String(incoming.headers['x-token-count'] ?? '').split(',').map(Number);
		const helpers = this.#resolveHelpers(incoming);
		if (typeof helpers === 'string') {
			outgoing.writeHead(503, {...notExecutedHeaders, 'x-request-id': id, 'at-server': helpers});
			outgoing.end();
			return;
		}

		const isHeld = String(incoming.headers['x-helpers'] ?? '').includes('/');
		const memory = isHeld ? 0 : computeMemory(model, prompt, answer);
		if (memory > model.memory) {
			outgoing.writeHead(503, {...notExecutedHeaders, 'x-request-id': id});
			outgoing.end();
			return;
		}

		const first = Number(incoming.headers['last-event-id'] ?? 0);
		const events = Math.max(Math.ceil(answer / model.stride) - first, 1);
		const job: BatchJob = {
			id, prompt, engineCount: helpers.length + 1, events, priority: Number(incoming.headers['x-request-priority'] ?? 5), memory,
		};
		this.#streams.set(id, {
			crashingPart: this.#findCrashingPart(incoming),
			job,
			outgoing,
			first,
			next: first + 1,
			pendingParts: helpers.length + 1,
			helpers,
			padding: '.'.repeat(Number(incoming.headers['x-event-padding'] ?? this.eventPadding)),
		});
		outgoing.once('close', () => {
			this.#streams.delete(id);
			this.#batch?.remove(id);
		});
		this.#batch?.add(job);
		for (const helper of helpers) {
			helper.prefillPart(job);
		}

		this.#startIteration();
	}

	/** The last part of a prompt belongs to the request alone. */
	#findCrashingPart(incoming: IncomingMessage): string | undefined {
		const parts = String(incoming.headers['x-prefix-hash'] ?? '').split(',').map(part => part.split(':')[0]!);
		return parts.slice(0, -1).find(part => this.crashingParts.has(part));
	}

	/** Returns the helpers except this engine, or the address of one that is missing, refuses to help or lacks the reservation. */
	#resolveHelpers(incoming: IncomingMessage): readonly UpstreamStandIn[] | string {
		const helpers: UpstreamStandIn[] = [];
		const names = String(incoming.headers['x-helpers'] ?? '').split(',').filter(Boolean);
		for (const name of names) {
			const [address = '', ticket] = name.split('/');
			const helper = upstreamsByAddress.get(address);
			if (helper === undefined || helper.isRefusingHelp || (ticket !== undefined && !helper.tickets.includes(ticket))) {
				return address;
			}

			if (helper !== this) {
				helpers.push(helper);
			}
		}

		return helpers;
	}

	#startIteration(): void {
		if (this.#isIterating) {
			return;
		}

		const time = this.#batch?.startIteration();
		if (time === undefined) {
			return;
		}

		this.#isIterating = true;
		void this.#iterate(time * this.slowness);
	}

	async #iterate(time: number): Promise<void> {
		await sleep(time);
		await this.#continued();
		this.#isIterating = false;
		this.#finishIteration();
		this.#startIteration();
	}

	/** Resolves at once unless it is paused. */
	async #continued(): Promise<void> {
		for (let left = this.#pausedUntil - performance.now(); left > 0; left = this.#pausedUntil - performance.now()) {
			await sleep(left);
		}
	}

	#finishIteration(): void {
		for (const progress of this.#batch?.finishIteration() ?? []) {
			if (progress.isPrefilled) {
				for (const each of upstreamsByAddress.values()) {
					each.handlePartPrefilled(progress.job.id);
				}
			}

			const stream = this.#streams.get(progress.job.id);
			if (progress.hasEvent && stream?.crashingPart !== undefined) {
				this.crashedUnder.push({part: stream.crashingPart, at: performance.now()});
				this.onCrash?.();
				void this.crash();
				return;
			}

			if (progress.hasEvent && stream !== undefined) {
				this.#writeEvent(stream, progress.isFinished);
			}
		}
	}

	#writeEvent(stream: Stream, isFinished: boolean): void {
		const {outgoing, job} = stream;
		if (!outgoing.headersSent && stream.writer === undefined) {
			this.#writeHead(stream);
		}

		const event = `id: ${stream.next}\ndata: piece ${stream.next}${stream.padding}\n\n`;
		const writer = stream.writer ?? outgoing;
		if (isCut(this.fault) && stream.next > stream.first + 2) {
			writer.write(event.slice(0, 9));
			this.#streams.delete(job.id);
			setTimeout(() => {
				breakOff(writer, this.fault);
			}, 5);
			return;
		}

		stream.next++;
		writer.write(event);
		if (isFinished) {
			this.#streams.delete(job.id);
			writer.end();
		}
	}

	#writeHead(stream: Stream): void {
		const {outgoing, job} = stream;
		const head = {'content-type': 'text/event-stream', 'x-request-id': job.id, 'x-response-signature': this.id};
		this.#reportState(outgoing);
		if (this.fault.startsWith('unframed')) {
			stream.writer = new UnframedResponse(outgoing, head);
			return;
		}

		outgoing.writeHead(200, head);
		if (this.unreadTimeout !== undefined) {
			stream.writer = new UnreadWatch(outgoing, this.unreadTimeout, () => {
				this.unreadStreams++;
			});
		}
	}

	async #handleOrder(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
		const order = orderSchema.parse(JSON.parse(await text(incoming)));
		if (order.Operation === 'release') {
			outgoing.writeHead(this.#tickets.release(order.Id) ? 200 : 409);
			outgoing.end('{}');
			return;
		}

		const memory = this.#options.model?.memory ?? 0;
		const free = memory - this.#tickets.tokens - (this.#batch?.used ?? 0);
		const isHeld = !this.isRefusingHolds && this.#tickets.reserve(order.Id, order.Tokens ?? 0, order.HoldMs ?? 0, free);
		outgoing.writeHead(isHeld ? 200 : 409);
		outgoing.end(isHeld ? JSON.stringify({Free: memory - this.#tickets.tokens}) : '{}');
	}
}
