/** Model of an engine: it streams events over connections in memory, and falls silent as a process does that is stopped and continued. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {duplexPair, type Duplex} from 'node:stream';
import {type GatewayUpstream} from '../../src/core/gateway/types.js';

export const engineService = 'model';
const healthPath = '/healthz';

/** Tokens of an event. */
export const stride = 10;

const slots = 64;

/** Milliseconds from a request to its first event, beside the interval between two events. */
const prefillMs = 20;

/** Milliseconds after which an engine goes on at the earliest. */
const recheckMs = 10;

/** A request that reached an engine. */
export type EngineRun = {
	readonly request: string;
	readonly engine: string;
	/** Virtual time in milliseconds. */
	readonly at: number;
};

export type ModelEngineOptions = {
	readonly id: string;
	readonly port: number;
	readonly failureDomain: string;
	/** Milliseconds between two events of a stream. */
	readonly interval: number;
	/** Virtual time in milliseconds. */
	readonly now: () => number;
	readonly onRun: (run: EngineRun) => void;
};

/** Connects both ends of a connection in memory: one that is closed closes the other. */
function createConnection(): readonly [Duplex, Duplex] {
	const [near, far] = duplexPair();
	near.once('close', () => {
		far.destroy();
	});
	far.once('close', () => {
		near.destroy();
	});
	return [near, far];
}

/**
 * @param server - Server that accepts it.
 * @returns The client's end of a new connection.
 */
export function connectTo(server: Server): Duplex {
	const [near, far] = createConnection();
	server.emit('connection', far);
	return near;
}

export class ModelEngine {
	readonly upstream: GatewayUpstream;
	/** Whether it sends nothing any more. */
	isHung = false;
	#isStopped = false;
	readonly #options: ModelEngineOptions;
	readonly #server: Server;
	readonly #streams = new Set<ServerResponse>();
	#silentUntil = 0;

	/**
	 * @param options - Engine.
	 */
	constructor(options: ModelEngineOptions) {
		const {id, port, failureDomain} = options;
		this.#options = options;
		this.upstream = {
			id, service: engineService, address: {host: 'engine', port}, failureDomain, slots, isDraining: false, started: 1,
		};
		this.#server = createServer((incoming, outgoing) => {
			void this.#handleRequest(incoming, outgoing);
		});
	}

	/** Whether it has no stream in progress. */
	get isIdle(): boolean {
		return this.#streams.size === 0;
	}

	/** Whether it sends nothing at present. */
	get isSilent(): boolean {
		return this.isHung || this.#isStopped || this.#options.now() < this.#silentUntil;
	}

	/**
	 * Sends nothing and starts nothing for some time; connections stay open, and requests wait.
	 *
	 * @param duration - Milliseconds.
	 */
	silence(duration: number): void {
		this.#silentUntil = Math.max(this.#silentUntil, this.#options.now() + duration);
	}

	/** Returns the client's end of a new connection to it; there is nothing to validate in the responses of this process. */
	connect(): Duplex {
		return Object.assign(connectTo(this.#server), {expectResponse: () => undefined});
	}

	/** Closes its connections, as the end of its process does. */
	stop(): void {
		this.#isStopped = true;
		this.#server.closeAllConnections();
	}

	async #handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
		await this.#continued();
		if (outgoing.destroyed) {
			return;
		}

		const {id} = this.upstream;
		incoming.resume();
		if (incoming.headers['x-expect-instance'] !== id) {
			outgoing.writeHead(421, {'x-instance-id': id}).end();
		} else if (incoming.url === healthPath) {
			outgoing.writeHead(200, {'x-instance-id': id, 'x-cold-ms': '0'}).end();
		} else {
			await this.#stream(incoming, outgoing);
		}
	}

	async #stream(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
		const {interval, now, onRun} = this.#options;
		const request = String(incoming.headers['x-request-id']);
		const count = Number(String(incoming.headers['x-token-count']).split(',')[1]) / stride;
		onRun({request, engine: this.upstream.id, at: now()});
		this.#streams.add(outgoing);
		outgoing.once('close', () => {
			this.#streams.delete(outgoing);
		});
		await this.#pass(prefillMs);
		for (let event = Number(incoming.headers['last-event-id'] ?? 0) + 1; event <= count; event++) {
			await this.#pass(interval);
			if (outgoing.destroyed) {
				return;
			}

			if (!outgoing.headersSent) {
				outgoing.writeHead(200, {'content-type': 'text/event-stream', 'x-request-id': request, 'x-response-signature': this.upstream.id});
			}

			outgoing.write(`id: ${event}\ndata: piece ${event}\n\n`);
		}

		outgoing.end();
	}

	/** Resolves after some time, or when it goes on if that is later. */
	async #pass(duration: number): Promise<void> {
		await delay(duration);
		await this.#continued();
	}

	async #continued(): Promise<void> {
		while (this.isSilent) {
			await delay(Math.max(this.#silentUntil - this.#options.now(), recheckMs));
		}
	}
}

async function delay(duration: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}
